Feature: The object store's contract and the platform's client
  Scenario Outline: A write says truly what became of it
    Given the store "<store>" of the platform
    And the platform store holds version 2 of "settings"
    When the platform is <fault>
    And the platform store writes "settings" against <against> as "<id>"
    And 15 platform seconds pass
    Then the platform outcomes are "<code>"
    And "settings" is stored in version <version>
    And the platform outcomes are true for "settings" written as "<id>"

    Examples:
      | store    | fault    | against | id | code                 | version |
      | memory   | none     | 2       | a  | DONE                 | 3       |
      | stand-in | none     | 2       | a  | DONE                 | 3       |
      | memory   | none     | 1       | a  | PLATFORM_CONFLICT    | 2       |
      | stand-in | none     | 1       | a  | PLATFORM_CONFLICT    | 2       |
      | memory   | none     | 1       | w1 | DONE                 | 2       |
      | stand-in | none     | 1       | w1 | DONE                 | 2       |
      | memory   | down     | 2       | a  | PLATFORM_DOWN        | 2       |
      | stand-in | down     | 2       | a  | PLATFORM_DOWN        | 2       |
      | memory   | losing   | 2       | a  | PLATFORM_ANSWER_LOST | 3       |
      | stand-in | losing   | 2       | a  | DONE                 | 3       |
      | stand-in | slow     | 2       | a  | DONE                 | 3       |
      | stand-in | stuck    | 2       | a  | PLATFORM_ANSWER_LOST | 3       |
      | stand-in | garbling | 2       | a  | PLATFORM_ANSWER_LOST | 3       |

  Scenario Outline: A read under a fault
    Given the store "<store>" of the platform
    And the platform store holds version 2 of "settings"
    When the platform is <fault>
    And the platform store reads "<key>"
    And 15 platform seconds pass
    Then the platform outcomes are "<code>"

    Examples:
      | store    | fault    | key      | code               |
      | memory   | none     | settings | DONE               |
      | stand-in | none     | settings | DONE               |
      | memory   | none     | absent   | DONE               |
      | stand-in | none     | absent   | DONE               |
      | memory   | down     | settings | PLATFORM_DOWN      |
      | stand-in | down     | settings | PLATFORM_DOWN      |
      | stand-in | slow     | settings | DONE               |
      | stand-in | stuck    | settings | PLATFORM_SLOW      |
      | stand-in | garbling | settings | PLATFORM_MALFORMED |

  Scenario Outline: A watch answers once, with a newer version only
    Given the store "<store>" of the platform
    And the platform store holds version 2 of "settings"
    When the platform store watches "settings" above 2
    And 100 platform seconds pass
    Then there is no platform outcome yet
    When the platform store writes "settings" against 2 as "a"
    And 1 platform seconds pass
    Then the last platform outcome holds version 3
    And "settings" is stored in version 3

    Examples:
      | store    |
      | memory   |
      | stand-in |

  Scenario: A lost write that was replaced since stays unknown
    Given the store "stand-in" of the platform
    And the platform store holds version 2 of "settings"
    When the platform is losing
    And the platform store writes "settings" against 2 as "a"
    And 0.05 platform seconds pass
    And another writer replaces "settings"
    And 15 platform seconds pass
    Then the platform outcomes are "PLATFORM_ANSWER_LOST"

  # The platform takes 2,000 reads a second: half a call for each of 4,000.
  Scenario: Clients that waited out an outage come back spread out
    Given 400 platform clients before one stand-in that is down
    When each client watches "settings" again and again for 60 s
    And the platform comes back with version 1 of "settings" for 20 s
    Then no platform second saw more than 200 calls
    And all 400 platform clients have their answer

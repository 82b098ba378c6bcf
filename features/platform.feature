Feature: The object store's interface and its client
  Scenario Outline: The outcome of a write is correct under a fault
    Given the store "<store>" of the platform
    And the platform store holds version 2 of "settings"
    When the platform fault is <fault>
    And the platform store writes "settings" against <against> as "<id>"
    And 15 seconds pass at the platform
    Then the platform outcomes are "<code>"
    And "settings" is stored in version <version>
    And the platform outcomes are correct for "settings" written as "<id>"

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

  Scenario Outline: The outcome of a read under a fault
    Given the store "<store>" of the platform
    And the platform store holds version 2 of "settings"
    When the platform fault is <fault>
    And the platform store reads "<key>"
    And 15 seconds pass at the platform
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

  Scenario Outline: A watch returns once, and only with a newer version
    Given the store "<store>" of the platform
    And the platform store holds version 2 of "settings"
    When the platform store watches "settings" above 2
    And 100 seconds pass at the platform
    Then there is no platform outcome yet
    When the platform store writes "settings" against 2 as "a"
    And 1 seconds pass at the platform
    Then the last platform outcome holds version 3
    And "settings" is stored in version 3

    Examples:
      | store    |
      | memory   |
      | stand-in |

  Scenario: A write without response that was overwritten since is unknown
    Given the store "stand-in" of the platform
    And the platform store holds version 2 of "settings"
    When the platform fault is losing
    And the platform store writes "settings" against 2 as "a"
    And 0.05 seconds pass at the platform
    And another writer replaces "settings"
    And 15 seconds pass at the platform
    Then the platform outcomes are "PLATFORM_ANSWER_LOST"

  # The platform handles 2,000 reads per second: half a call per second for each
  # of 4,000 clients.
  Scenario: After an outage the calls of the clients are spread over time
    Given 400 platform clients and one stand-in that is down
    When each client repeats its watch of "settings" for 60 s
    And the platform is back with version 1 of "settings" for 20 s
    Then the platform received at most 200 calls in any second
    And all 400 platform clients have a result

Feature: One roster for each data centre names its members
  Scenario: Changes are written and a newcomer's feeder reads them
    Given a roster keeper "one" of "dc-0" that sees 3 members
    When the roster keepers run for 20 s
    Then the stored roster names 3 members
    Given a roster keeper "two" of "dc-0" that sees 0 members
    When the roster keepers run for 20 s
    Then the roster keeper "two" was told of 3 members
    And the stored roster names 3 members

  Scenario Outline: A write under a fault ends with the whole roster stored
    Given a roster keeper "one" of "dc-0" that sees 3 members
    And a roster keeper "two" of "dc-0" that sees 5 members
    When the roster's platform is <fault> for 30 s
    And the roster's platform is none for 60 s
    Then the stored roster names 5 members

    Examples:
      | fault    |
      | down     |
      | losing   |
      | slow     |
      | stuck    |
      | garbling |

  Scenario: Writes are rare however often members change
    Given a roster keeper "one" of "dc-0" that sees 3 members
    When a member of the roster changes every second for 120 s
    Then the roster was written at most 48 times
    And the roster was written at least 10 times

  Scenario Outline: The newest record of each member is kept
    Given a stored roster whose member is at incarnation 5, revision 5
    When it is merged with that member at <incarnation>, <revision>, <state>
    Then the merged roster holds <held>

    Examples:
      | incarnation | revision | state   | held |
      | 5           | 4        | SERVING | 5.5  |
      | 4           | 9        | SERVING | 5.5  |
      | 5           | 6        | SERVING | 5.6  |
      | 6           | 0        | SERVING | 6.0  |
      | 5           | 5        | LEFT    | none |
      | 5           | 4        | DEAD    | 5.5  |

  Scenario: A member that nobody sees any more is left out in the end
    Given a roster keeper "one" of "dc-0" that sees 3 members
    When the roster keepers run for 20 s
    And the roster keeper "one" sees 2 members
    And the roster keepers run for 300 s
    Then the stored roster names 3 members
    When the roster keepers run for 400 s
    Then the stored roster names 2 members

  Scenario: A roster that cannot be read is written over
    Given a stored roster of octets that nobody can read
    And a roster keeper "one" of "dc-0" that sees 3 members
    When the roster keepers run for 20 s
    Then the stored roster names 3 members

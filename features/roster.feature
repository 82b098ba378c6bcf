Feature: The roster of a data centre lists its members
  Scenario: Changes are written and read by a new feeder
    Given a roster writer "one" of "dc-0" that sees 3 members
    When the roster writers run for 20 s
    Then the stored roster names 3 members
    Given a roster writer "two" of "dc-0" that sees 0 members
    When the roster writers run for 20 s
    Then the roster writer "two" reported 3 members
    And the stored roster names 3 members

  Scenario Outline: The complete roster is stored after a fault
    Given a roster writer "one" of "dc-0" that sees 3 members
    And a roster writer "two" of "dc-0" that sees 5 members
    When the roster's platform fault is <fault> for 30 s
    And the roster's platform fault is none for 60 s
    Then the stored roster names 5 members

    Examples:
      | fault    |
      | down     |
      | losing   |
      | slow     |
      | stuck    |
      | garbling |

  Scenario: The rate of writes is limited when members change often
    Given a roster writer "one" of "dc-0" that sees 3 members
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

  Scenario: A member that is no longer seen is removed after a while
    Given a roster writer "one" of "dc-0" that sees 3 members
    When the roster writers run for 20 s
    And the roster writer "one" sees 2 members
    And the roster writers run for 300 s
    Then the stored roster names 3 members
    When the roster writers run for 400 s
    Then the stored roster names 2 members

  Scenario: An invalid roster is overwritten
    Given a stored roster of invalid octets
    And a roster writer "one" of "dc-0" that sees 3 members
    When the roster writers run for 20 s
    Then the stored roster names 3 members

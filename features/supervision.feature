Feature: The supervisor tree
  Scenario: A failed child is rebuilt with the same core
    Given a supervisor whose child counts in a core
    When the child counts 3 times, fails, and counts 2 times
    Then the count in the core is 5
    And the child was built 2 times

  Scenario: Too many failures stop the process
    Given a supervisor whose child counts in a core
    When the child fails 6 times within the restart period
    Then the supervisor has given up
    And every child was released

  Scenario Outline: The strategy selects the children to restart
    Given a supervisor with children a, b and c under <strategy>
    When child b fails
    Then <restarted> were built twice

    Examples:
      | strategy     | restarted |
      | one-for-one  | b         |
      | rest-for-one | b,c       |
      | one-for-all  | a,b,c     |

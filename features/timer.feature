Feature: Timers run by the steady clock

  # Guards against nodes that stop all periodic work, such as reading evacuations
  # again, while the time of day is set back.
  Scenario Outline: A ticker does not stand still when the time of day jumps
    Given a ticker with a period of 0.02 s
    When it runs for 0.3 s
    And the time of day jumps by <jump_s> s
    And it runs for 0.3 s
    Then it has been called 20 to 32 times

    Examples:
      | jump_s |
      | -3600  |
      | -2     |
      | 3600   |

  Scenario: A ticker without work in progress uses its longer period
    Given a ticker with a period of 0.02 s, and of 0.1 s when idle
    When it runs for 0.55 s
    Then it has been called 5 to 7 times

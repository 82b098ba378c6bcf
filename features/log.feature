Feature: Logs at a bounded rate
  Scenario: A line that repeats is kept back until the next period
    Given a rate filter of 3 lines a period
    When one source line logs 5 times at 0 s and 2 times at 11 s
    Then 5 lines were allowed

  Scenario: Another source line has a budget of its own
    Given a rate filter of 3 lines a period
    When two source lines log 4 times each at 0 s
    Then 6 lines were allowed

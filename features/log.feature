Feature: The rate of log lines is limited
  Scenario: A repeated line is suppressed until the next period
    Given a rate filter of 3 lines per period
    When one source line logs 5 times at 0 s and 2 times at 11 s
    Then 5 lines were allowed

  Scenario: Each source line has its own limit
    Given a rate filter of 3 lines per period
    When two source lines log 4 times each at 0 s
    Then 6 lines were allowed

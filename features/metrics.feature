Feature: The page of metrics
  Scenario: docs/METRICS.md lists every metric as the program has it
    Given the page docs/METRICS.md
    Then it holds a row for each metric of the program and no other
    And every label is bounded

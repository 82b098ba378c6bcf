Feature: Documentation of the metrics
  Scenario: docs/METRICS.md lists the metrics of the program
    Given the page docs/METRICS.md
    Then it has exactly one row for each metric of the program
    And every label has a bounded set of values

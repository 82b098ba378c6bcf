Feature: The table of result codes
  Scenario: The page and the code agree
    Given the page of result codes
    Then its table is the one that the code gives

  Scenario: Every code is well numbered
    Then every result code has a meaning and lies in a known hundred

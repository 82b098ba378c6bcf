Feature: Documentation of the result codes
  Scenario: The page lists the codes of the program
    Given the page of result codes
    Then its table lists the codes of the program

  Scenario: Every code has a valid number
    Then every result code has a meaning and a known first digit

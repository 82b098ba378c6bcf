Feature: The page of settings and its examples
  Scenario Outline: A deployment's examples are read by the real loader
    Given the examples of <deployment>
    Then the example tree is accepted, with <first> and <second> endpoints
    And the example processes are accepted, and stand in the example tree
    And the example holds with any one data centre gone

    Examples:
      | deployment | first       | second          |
      | dakar      | job-desk: 7 | preview-vault: 4 |
      | helsinki   | kaynti: 7   | asiakirja: 3    |

  Scenario: The page shows the examples and every field
    Given the page of settings
    Then each of its documents is an example, word for word
    And each field of the settings stands on it

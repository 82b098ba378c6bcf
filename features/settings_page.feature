Feature: The settings page and its examples
  Scenario Outline: The examples of a deployment are valid
    Given the examples of <deployment>
    Then the example tree is accepted, with <first> and <second> endpoints
    And the example processes are accepted, and match the example tree
    And the example passes all handover checks, also the loss of a data centre

    Examples:
      | deployment | first       | second          |
      | dakar      | job-desk: 7 | preview-vault: 4 |
      | helsinki   | kaynti: 7   | asiakirja: 3    |

  Scenario: The page shows the examples and names every field
    Given the settings page
    Then each document on the page is an example, word for word
    And each field of the settings is named on the page

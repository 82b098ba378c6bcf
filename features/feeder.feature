Feature: Only a few feeders of each data centre call the platform
  Scenario Outline: The platform's calls do not grow with members
    Given a fleet of <members> in <data_centres> data centres
    When the fleet has run for 10 s with version 1
    And the calls of the fleet are counted over 120 s
    Then the fleet has 2 feeders in each of <data_centres> data centres
    And no other process of the fleet ever called the platform
    And the platform of the fleet saw at most <calls> calls

    # Two watches of 30 s for each of two feeders: 16 in 120 s, and a fringe.
    Examples:
      | members | data_centres | calls |
      | 12      | 2            | 36    |
      | 48      | 2            | 36    |
      | 12      | 4            | 72    |
      | 96      | 4            | 72    |

  Scenario Outline: Settings that cannot be read keep the last ones in force
    Given a fleet of 8 in 2 data centres
    And the fleet has run for 10 s with version 1
    When the platform of the fleet holds <body> as settings
    And the calls of the fleet are counted over 60 s
    Then the whole fleet runs version 1
    And the platform of the fleet saw at most 40 calls
    When the fleet's settings are written again over them
    And the fleet runs for 10 s
    Then the whole fleet runs version 3

    Examples:
      | body                 |
      | {"teams":            |
      | {"teams": 7}         |
      | {"unknown-field": 1} |

  Scenario: A newcomer that knows its peers does not call the platform
    Given a fleet of 24 in 2 data centres
    And the fleet has run for 10 s with version 1
    When 10 processes join the fleet one after another
    And the fleet runs for 30 s
    Then the whole fleet runs version 1
    And the fleet has 2 feeders in each of 2 data centres
    And at most 4 newcomers of the fleet called the platform

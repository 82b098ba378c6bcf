Feature: Only a few feeders of each data centre call the platform
  Scenario Outline: Calls to the platform do not grow with the members
    Given a fleet of <members> in <data_centres> data centres
    When the fleet has run for 10 s with version 1
    And the calls of the fleet are counted over 120 s
    Then the fleet has 2 feeders in each of <data_centres> data centres
    And no other process of the fleet ever called the platform
    And the platform of the fleet received at most <calls> calls

    # Each of two feeders in a data centre has two watches of 30 s: 16 calls
    # in 120 s, and some margin.
    Examples:
      | members | data_centres | calls |
      | 12      | 2            | 36    |
      | 48      | 2            | 36    |
      | 12      | 4            | 72    |
      | 96      | 4            | 72    |

  Scenario Outline: Invalid stored settings leave the last valid ones in force
    Given a fleet of 8 in 2 data centres
    And the fleet has run for 10 s with version 1
    When the platform of the fleet holds <body> as settings
    And the calls of the fleet are counted over 60 s
    Then the whole fleet runs version 1
    And the platform of the fleet received at most 40 calls
    When the fleet's settings are overwritten with valid ones
    And the fleet runs for 10 s
    Then the whole fleet runs version 3

    Examples:
      | body                 |
      | {"teams":            |
      | {"teams": 7}         |
      | {"unknown-field": 1} |

  Scenario: A new process that knows its peers does not call the platform
    Given a fleet of 24 in 2 data centres
    And the fleet has run for 10 s with version 1
    When 10 processes join the fleet one after another
    And the fleet runs for 30 s
    Then the whole fleet runs version 1
    And the fleet has 2 feeders in each of 2 data centres
    And at most 4 new processes of the fleet called the platform

  # Guards against settings that nobody hears of for as long as a lost watch waits,
  # when their writer has handed them to no peer.
  Scenario: Settings are in force in time although the feeders' watches are lost
    Given a fleet of 8 in 2 data centres
    And the fleet has run for 10 s with version 1
    When the platform of the fleet loses its open watches
    And the fleet's settings are overwritten with valid ones
    And the fleet runs for 14 s
    Then the whole fleet runs version 3

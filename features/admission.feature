Feature: Sparing targets
  An agent gives a cold target what a cold target bears, learns by response
  times how it warms up, and goes back to the floor at once.

  Scenario Outline: A target that is cold
    Given a target that warms up in 2 seconds, is cold by <way> and limited by <limit>
    When it is under full load for 4 ramps from seed <seed>
    Then admission started <excess> requests above what it bore
    And the target fell over <falls> more times
    And admission used all slots within 2 ramps

    Examples:
      | way         | limit        | seed | excess | falls |
      | start       | admission    | 1    | 0      | 0     |
      | start       | admission    | 2    | 0      | 0     |
      | start       | perfect ramp | 1    | 0      | 0     |
      | fall        | admission    | 1    | 0      | 0     |

  Scenario: A target without admission falls over again and again
    Given a target that warms up in 2 seconds, is cold by start and limited by all slots
    When it is under full load for 4 ramps from seed 1
    Then the target fell over more than 1 times

  Scenario Outline: What puts the limit back to the floor
    Given admission to a warm target with all slots in use
    When its admission sees <sign>
    Then admission allows <limit> requests at once

    Examples:
      | sign                      | limit |
      | nothing                   | 4     |
      | a response in usual time  | 4     |
      | one slow response         | 1     |
      | a slow and a good response | 4    |
      | two slow responses        | 1     |
      | one failure               | 0     |
      | silence for too long      | 1     |

  Scenario: The wait after a failure ends by itself
    Given admission to a warm target with all slots in use
    When its admission sees one failure
    And admission waits 3 seconds
    Then admission allows 1 requests at once

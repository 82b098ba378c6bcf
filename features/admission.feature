Feature: Admission control of targets
  An agent limits the requests in flight at a cold target and raises the limit
  as response times fall. When the target slows down or fails, the limit is
  reset at once.

  Scenario Outline: A target that is cold
    Given a target that warms up in 2 seconds, is cold after <cause> and limited by <limit>
    When it is under full load for 4 warm-up times with seed <seed>
    Then admission exceeded the target's capacity <excess> times
    And the target collapsed <collapses> more times
    And admission used all slots within 2 warm-up times

    Examples:
      | cause | limit        | seed | excess | collapses |
      | start | admission    | 1    | 0      | 0         |
      | start | admission    | 2    | 0      | 0         |
      | start | perfect ramp | 1    | 0      | 0         |
      | fall  | admission    | 1    | 0      | 0         |

  Scenario: Without admission control the target collapses repeatedly
    Given a target that warms up in 2 seconds, is cold after start and limited by all slots
    When it is under full load for 4 warm-up times with seed 1
    Then the target collapsed more than 1 times

  Scenario Outline: Signals that reset the limit
    Given admission to a warm target with all slots in use
    When admission observes <signal>
    Then admission allows <limit> requests at once

    Examples:
      | signal                     | limit |
      | nothing                    | 4     |
      | a response in normal time  | 4     |
      | one slow response          | 1     |
      | a slow and a good response | 4     |
      | two slow responses         | 1     |
      | one failure                | 0     |
      | two overdue responses      | 1     |

  Scenario: The backoff after a failure ends by itself
    Given admission to a warm target with all slots in use
    When admission observes one failure
    And admission waits 3 seconds
    Then admission allows 1 requests at once

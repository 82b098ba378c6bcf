Feature: An agent gives room by priority, deadline and the work of a request

  Scenario: Flows without a request yet take up room
    Given an agent that judges its target of 2 slots
    When 6 flows are opened at once
    Then 4 of them are admitted

  # Guards against targets that reject flows because their agent admits a burst
  # of flows before it sees the first request.
  Scenario: The room of a flow whose request never comes is free again
    Given an agent that judges its target of 2 slots
    When 6 flows are opened at once
    And 1.1 s go by at that agent
    And 6 flows are opened at once
    Then 4 of them are admitted

  # Guards against usual requests that take the place of urgent ones.
  Scenario: Places are kept for urgent requests
    Given an agent that judges its target of 2 slots
    And 4 requests in progress
    Then no flow is admitted
    And an urgent flow is admitted
    And an urgent flow is admitted
    And an urgent flow is not admitted

  Scenario: Under pressure the usual requests get free slots only
    Given an agent that judges its target of 2 slots
    And 4 requests in progress and 2 urgent ones
    When 2 urgent flows are refused
    And the target answers 3 of its requests
    Then no flow is admitted
    And an urgent flow is admitted

  Scenario: A free slot is never kept back
    Given an agent that judges its target of 2 slots
    And 4 requests in progress and 2 urgent ones
    When 2 urgent flows are refused
    And the target answers 5 of its requests
    Then a flow is admitted

  Scenario: The usual requests get their room back after a while
    Given an agent that judges its target of 2 slots
    And 4 requests in progress and 2 urgent ones
    When 2 urgent flows are refused
    And the target answers 3 of its requests
    And 1.1 s go by without an end of a request
    Then a flow is admitted

  # Guards against a priority that gets nothing while urgent requests go on.
  Scenario: A priority that got nothing for a second gets one flow in
    Given an agent that judges its target of 2 slots
    And 3 requests in progress
    When 2 urgent flows are refused each 0.1 s for 1.2 s
    Then a flow is admitted
    And no flow is admitted

  # Guards against requests that wait at a slow target until they are late.
  Scenario Outline: A flow that would wait too long is not admitted
    Given an agent that judges its target of 2 slots
    And requests that take <work> s each
    And 2 requests in progress
    Then <outcome>

    Examples:
      | work | outcome             |
      | 0.05 | a flow is admitted  |
      | 0.2  | a flow is admitted  |
      | 0.39 | no flow is admitted |

  Scenario: A slow target still gets as many requests as it has slots
    Given an agent that judges its target of 2 slots
    And requests that take 0.6 s each
    And 1 requests in progress
    Then a flow is admitted

  # Guards against a response time that counts the wait for a slot twice.
  Scenario: The reported response time leaves out the wait for a slot
    Given an agent that judges its target of 2 slots
    When 4 requests begin together and the target takes 0.1 s for each pair
    Then the reported response time is from 90 to 110 ms

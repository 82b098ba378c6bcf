Feature: Resets that come from beside an agent

  A machine where no target listens answers packets with resets of its own,
  and so does a target for flows that it has ended.

  Scenario: A reset by a machine without a target does not end another's flow
    Given an agent that restarted, and no target yet
    When data of an unknown flow arrives in a search
    And a reset comes back for it
    Then the client got 0 packets
    And the balancer is told ABSENT for sure

  Scenario: A reset that answers a SYN sends the SYN to the next candidate
    Given an agent whose target serves
    When a SYN arrives
    And a reset comes back for it
    Then the client got 0 packets
    And the SYN goes to 10.1.0.14 with 1 candidate left

  Scenario: A reset for a flow that was adopted on silence alone proves nothing
    Given an agent that restarted beside its target
    When data of an unknown flow arrives in a search
    And 0.1 s go by
    And a reset comes back for it
    Then the client got 0 packets
    And the balancer is told HELD, RETURNED

  Scenario: A target's reset of a flow that it holds reaches the client
    Given an agent whose target serves
    And an open flow
    When a reset comes back for it
    Then the client got 1 packet
    And the balancer is told ENDED
    And the target was checked once

  Scenario: A copy of a SYN that comes back leaves the open flow alone
    Given an agent whose target serves
    And an open flow
    When a SYN arrives
    And the target bounces it
    And data of the flow arrives
    Then the target got 2 packets
    And the balancer is told nothing

  Scenario: A flow that was adopted on silence alone is not reset with its target
    Given an agent that restarted beside its target
    When data of an unknown flow arrives in a search
    And 0.1 s go by
    And nothing listens at the target any more
    Then no flow is reset
    And the balancer is told HELD, RETURNED

  Scenario: A guess does not take the place of what a holder said
    Given a balancer that knows 3 agents
    And a flow that agent 2 holds
    When agent 3 guesses that it holds the flow
    And the client sends data
    Then the frame goes to agent 2
    When agent 1 is sure that it holds the flow
    And the client sends data
    Then the last frame goes to agent 1

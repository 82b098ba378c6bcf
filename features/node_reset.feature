Feature: Resets sent by a target or by its host

  A host where no target listens answers packets with resets of its own, and
  so does a target for flows that it has ended.

  Scenario: A reset by a host without a target does not end another target's flow
    Given a restarted agent whose target has not started yet
    When data of an unknown flow arrives in a search
    And a reset comes back for it
    Then the client got 0 packets
    And the balancer gets the authoritative report ABSENT

  Scenario: A SYN answered by a reset is forwarded to the next candidate
    Given an agent whose target serves
    When a SYN arrives
    And a reset comes back for it
    Then the client got 0 packets
    And the SYN goes to 10.1.0.14 with 1 candidate left

  Scenario: A reset of an assumed flow proves nothing
    Given an agent that restarted while its target ran
    When data of an unknown flow arrives in a search
    And 0.1 s go by
    And a reset comes back for it
    Then the client got 0 packets
    And the reports to the balancer are HELD, RETURNED

  Scenario: A target's reset of a flow that it holds reaches the client
    Given an agent whose target serves
    And an open flow
    When a reset comes back for it
    Then the client got 1 packet
    And the reports to the balancer are ENDED
    And the target was checked once

  Scenario: A bounced retransmission of a SYN does not affect the open flow
    Given an agent whose target serves
    And an open flow
    When a SYN arrives
    And the target bounces it
    And data of the flow arrives
    Then the target got 2 packets
    And the balancer gets no report

  Scenario: An assumed flow is not reset when its target ends
    Given an agent that restarted while its target ran
    When data of an unknown flow arrives in a search
    And 0.1 s go by
    And the target's process is found to have ended
    Then no flow is reset
    And the reports to the balancer are HELD, RETURNED

  Scenario: An assumption does not replace a confirmed hint
    Given a balancer that knows 3 agents
    And a flow that agent 2 holds
    When agent 3 assumes that it holds the flow
    And the client sends data
    Then the frame goes to agent 2
    When agent 1 is sure that it holds the flow
    And the client sends data
    Then the last frame goes to agent 1

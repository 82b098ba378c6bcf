Feature: No new flow reaches an evacuated data centre

  Scenario: An evacuated data centre gets no new flows
    Given a balancer that knows 3 agents
    And data centres zone-1 and zone-3 are evacuated
    When the client sends a SYN
    Then the frame goes to agent 2
    And the first frame names 0 candidates and the service's digest

  # Guards against new flows to an evacuated data centre from a balancer that
  # has read the manifest and the agents, but not yet the evacuations.
  Scenario: A SYN waits until the evacuations have been read
    Given a balancer that has not read the evacuations
    When the client sends a SYN
    And 0.5 s go by
    Then nothing is sent and nothing is reset
    When data centres zone-1 and zone-3 are evacuated
    And 0.15 s go by
    Then the frame goes to agent 2

  Scenario: Without the evacuations a SYN is given up in silence
    Given a balancer that has not read the evacuations
    When the client sends a SYN
    And 1.2 s go by
    And data centres zone-1 and zone-3 are evacuated
    And 0.5 s go by
    Then nothing is sent and nothing is reset

  # Guards against new flows to an evacuated data centre from a client port that
  # was used before.
  Scenario: A SYN of a flow that was opened long ago is placed anew
    Given a balancer that knows 3 agents
    And a flow that agent 2 holds
    When 2 s go by
    And data centres zone-2 and zone-3 are evacuated
    And the client sends a SYN
    Then the frames sent are OPEN
    And the frame goes to agent 1

  # Guards against new flows to an evacuated data centre from a balancer whose
  # own watch tells it nothing, while others know.
  Scenario: A report of a newer evacuation makes the balancer read them again
    Given a balancer that knows 3 agents
    And its evacuations are as of 27, confirmed 4 s ago
    When agent 1 reports that the evacuations changed as of 30
    And 0.3 s go by
    Then the evacuations are not requested
    When 0.3 s go by
    Then the evacuations are requested

  Scenario: A balancer that reads a change by itself in time requests nothing
    Given a balancer that knows 3 agents
    And its evacuations are as of 27, confirmed 4 s ago
    When agent 1 reports that the evacuations changed as of 30
    And 0.3 s go by
    And it reads the evacuations as of 30
    And 1 s go by
    Then the evacuations are not requested

  # Guards against endless requests by a report that names a revision which the
  # store does not have.
  Scenario: A list that was requested after the news ends the search for it
    Given a balancer that knows 3 agents
    And its evacuations are as of 27, confirmed 4 s ago
    When agent 1 reports that the evacuations changed as of 99
    And 0.7 s go by
    Then the evacuations are requested
    When the list that it requested arrives, as of 31
    And 5 s go by
    Then the evacuations are requested no more

  Scenario: Every frame names the balancer's copy of the evacuations
    Given a balancer that knows 3 agents
    And its evacuations are as of 27, confirmed 4 s ago
    And a flow that agent 2 holds
    When the client sends data
    And the client sends a SYN from another port
    Then each frame sent names the evacuations as of 27

  Scenario: A balancer tells an agent that its data centre is evacuated
    Given a balancer that knows 3 agents
    And a flow that agent 2 holds
    And data centres zone-2 and zone-3 are evacuated
    When the client sends data
    Then the frame goes to agent 2
    And the frame says that the agent is in an evacuated data centre

  Scenario: A balancer tells agents of a change of the evacuations at once
    Given a balancer that knows 3 agents
    And its evacuations are as of 27, confirmed 4 s ago
    When 0.02 s go by
    Then 3 PING frames were sent
    And each frame sent names the evacuations as of 27

  Scenario: The log names the copy of the evacuations that a SYN was placed by
    Given a balancer that knows 3 agents
    And its evacuations are as of 27, confirmed 4 s ago
    When the client sends a SYN
    Then the log line open-sent has evacuations 27 and evacuations_age_s 4.0

  Scenario: The log names the age of the manifest that a SYN was placed by
    Given a balancer that knows 3 agents
    And its manifest was confirmed 5 s ago
    When the client sends a SYN
    Then the log line open-sent has manifest_age_s 5.0

  Scenario: An agent reports the newest change of the evacuations it has heard of
    Given an agent whose target serves
    When a frame names the evacuations as of 30, changed as of 27
    And a frame names the evacuations as of 12, changed as of 12
    And a frame names the evacuations as of 40, changed as of 9
    Then its last report names a change of the evacuations as of 27

  # Guards against new flows to an evacuated data centre from a balancer that
  # sends by an outdated copy, or was suspended while it sent.
  Scenario: An agent whose data centre is evacuated passes on what an outdated balancer sends
    Given an agent whose target serves
    When a balancer's frame says that its data centre is evacuated, as of 30
    And a SYN arrives that was placed by the evacuations as of 12
    Then the target got 0 packets
    And the SYN goes to 10.1.0.14 with 1 candidate left
    And the log line open-passed has the reason evacuated

  Scenario Outline: An agent takes new flows from whoever may know that an evacuation is over
    Given an agent whose target serves
    When a balancer's frame says that its data centre is evacuated, as of 30
    And <what>
    Then the target got 1 packet, unchanged

    Examples:
      | what                                                       |
      | a SYN arrives that was placed by the evacuations as of 40  |
      | a balancer with a copy as of 50 sends a SYN                |

  Scenario: Frames that other agents pass on say nothing of its own data centre
    Given an agent whose target serves
    When an agent passes on a frame to an evacuated data centre, as of 30
    And a SYN arrives that was placed by the evacuations as of 12
    Then the target got 1 packet, unchanged

  Scenario: An agent whose data centre is evacuated keeps its flows
    Given an agent whose target serves
    And an open flow
    When a balancer's frame says that its data centre is evacuated, as of 30
    And data of the flow arrives
    Then the target got 1 packet

  Scenario: What no balancer confirms for a minute is given up
    Given an agent whose target serves
    When a balancer's frame says that its data centre is evacuated, as of 30
    And 61 s go by
    And its target sends a heartbeat
    And a balancer with a copy as of 12 sends a SYN
    Then the target got 1 packet, unchanged

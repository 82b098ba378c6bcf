Feature: An agent delivers packets and lets its target decide

  Scenario: A SYN that the target answers opens a flow
    Given an agent whose target serves
    When a SYN arrives
    And the target answers the SYN
    Then the target got 1 packet, unchanged
    And the client got 1 packet
    And the reports to the balancer are HELD

  Scenario Outline: A SYN that the target may not take is forwarded to the next candidate
    Given an agent whose target <state>
    When a SYN arrives
    Then the target got 0 packets
    And the SYN goes to 10.1.0.14 with 1 candidate left
    And the reports to the balancer are ABSENT

    Examples:
      | state                    |
      | is not known yet         |
      | drains                   |
      | left                     |
      | serves another service   |
      | missed its heartbeats    |

  Scenario: The last candidate returns the SYN as refused
    Given an agent whose target drains
    When a SYN arrives that names no other candidate
    Then the balancer gets the report REFUSED with the SYN

  Scenario: A bounced SYN is forwarded unchanged
    Given an agent whose target serves
    When a SYN arrives
    And the target bounces it
    Then the SYN goes to 10.1.0.14 with 1 candidate left

  Scenario: A target at its limit of requests in progress gets no new flow
    Given an agent whose target serves
    When 20 SYNs arrive, one each 0 s
    Then the target got 14 packets

  Scenario: Retransmitted data does not count as a new request
    Given an agent whose target serves
    And an open flow
    When the target answers the data
    And the same data arrives again
    Then the target has 0 requests in progress

  Scenario: Unanswered data counts as a request in progress for a limited time
    Given an agent whose target serves
    And an open flow
    Then the target has 1 requests in progress
    When 3 s go by
    Then the target has 0 requests in progress

  # Guards against an overload that outlives its cause: an agent that counts the
  # requests of clients that have given up refuses new flows for an idle target.
  Scenario: A client that closes its flow waits for no response
    Given an agent whose target serves
    And an open flow
    When the client closes it
    Then the target has 0 requests in progress

  Scenario: A client that resets its flow waits for no response
    Given an agent whose target serves
    And an open flow
    When the client resets it
    Then the target has 0 requests in progress

  Scenario Outline: A request is in progress no longer than its route's time limit
    Given an agent whose target serves
    And an open flow of a route with a time limit of <limit> s
    When <waited> s go by
    Then the target has <count> requests in progress

    Examples:
      | limit | waited | count |
      | 0.8   | 0.7    | 1     |
      | 0.8   | 1.4    | 0     |
      | 6     | 5      | 1     |
      | 6     | 6.6    | 0     |

  Scenario: A target whose requests have ended unnoticed takes flows at once
    Given an agent whose target serves
    And 14 open flows of a route with a time limit of 0.8 s
    When 0.9 s go by without a tick
    And a SYN arrives from another port
    Then the target got 1 packet

  Scenario: A request that a much later one has overtaken was lost
    Given an agent whose target serves
    And an open flow of a route with a time limit of 6 s
    When 1 s go by
    And another flow opens and the target answers its data
    And 0.6 s go by
    Then the target has 0 requests in progress

  Scenario: Requests of a slow target that are answered in order stay in progress
    Given an agent whose target serves
    And an open flow of a route with a time limit of 6 s
    When 0.4 s go by
    And another flow opens and the target answers its data
    And 0.6 s go by
    Then the target has 1 requests in progress

  Scenario: A target that has become slow shows it before it answers
    Given an agent whose target serves
    And an open flow of a route with a time limit of 6 s
    When 0.9 s go by
    Then the reported response time is at least 900 ms

  Scenario: A target that fails again is trusted less, and for longer
    Given an agent whose target serves
    Then the reported cost is raised by 0 %
    When the target's process is found to have ended
    Then the reported cost is raised by 100 %
    When 1.02 s go by
    Then the reported cost is raised by 49 %
    When 1.1 s go by
    Then the reported cost is raised by 0 %
    When its target has started again
    And the target's process is found to have ended
    Then the reported cost is raised by 200 %
    When 2.02 s go by
    Then the reported cost is raised by 99 %

  Scenario: A target that ends as announced has not failed
    Given an agent whose target drains
    When the target's process is found to have ended
    Then the reported cost is raised by 0 %

  Scenario: A closed flow does not count as load, but its late packets are delivered
    Given an agent whose target serves
    And an open flow
    When both ends close it
    Then the reported load is 0 flows
    When the client closes again
    Then the target got 2 packets

  Scenario: A retransmitted SYN follows the first
    Given an agent whose target serves
    When a SYN arrives
    And the target answers the SYN
    And its target starts to drain
    And a SYN arrives
    Then the target got 2 packets, unchanged

  # Guards against new flows to a draining target from a client port that was
  # used before.
  Scenario: A SYN of a flow that was opened long ago is a new flow
    Given an agent whose target serves
    And an open flow
    When 2 s go by
    And its target starts to drain
    And a SYN arrives
    Then the target got 0 packets
    And the SYN goes to 10.1.0.14 with 1 candidate left

  # Guards against a flow that is lost because a late copy of its SYN was taken
  # for a new flow.
  Scenario: A late copy of the SYN of an open flow does not end the flow
    Given an agent whose target serves
    And an open flow
    When 2 s go by
    And its target sends a heartbeat
    And a SYN arrives
    And the target bounces it
    And data of the flow arrives
    Then the target got 2 packets
    And the balancer gets no report

  # Guards against SYNs that are delivered seconds after they were sent, to a
  # target that was evacuated or drained meanwhile.
  Scenario: A SYN that waited while the agent was suspended goes back to its balancer
    Given an agent whose target serves
    When the agent is suspended for 5 s, and a SYN waits for it
    Then the target got 0 packets
    And the balancer gets the report REFUSED with the SYN
    When all input has been read
    And a SYN arrives
    Then the target got 1 packet, unchanged

  Scenario: A SYN that the target left unanswered while the agent was suspended goes back
    Given an agent whose target serves
    When a SYN arrives
    And the agent is suspended for 5 s
    Then the balancer gets the report REFUSED with the SYN

  Scenario: An unanswered SYN is forwarded, and the target is checked
    Given an agent whose target serves
    When a SYN arrives
    And 0.2 s go by
    Then the SYN goes to 10.1.0.14 with 1 candidate left
    And the target was checked once

  Scenario: An agent that saw its target start delivers no packet of an unknown flow
    Given an agent whose target serves
    When data of an unknown flow arrives in a search
    Then the target got 0 packets
    And the balancer gets the authoritative report ABSENT

  Scenario: An agent that restarted while its target ran probes the target
    Given an agent that restarted while its target ran
    When data of an unknown flow arrives in a search
    And the target bounces it
    Then the target got 1 packet, unchanged
    And the balancer gets the authoritative report ABSENT

  Scenario: A restarted agent adopts a flow whose probe the target does not bounce
    Given an agent that restarted while its target ran
    When data of an unknown flow arrives in a search
    And 0.1 s go by
    Then the reports to the balancer are HELD

  Scenario: A probe that was sent before the target started proves nothing
    Given a restarted agent whose target has not started yet
    When data of an unknown flow arrives in a search
    And the target starts within 0.02 s
    And 0.1 s go by
    Then the balancer gets no report

  Scenario: A bounced packet of an assumed flow triggers a search, not a reset
    Given an agent that restarted while its target ran
    When data of an unknown flow arrives in a search
    And 0.1 s go by
    And data of the flow arrives
    And the target bounces it
    Then no flow is reset
    And the reports to the balancer are HELD, RETURNED

  Scenario: Data that acknowledges another target's SYN-ACK is returned
    Given an agent whose target serves
    When a SYN arrives
    And the target answers the SYN
    And data arrives that acknowledges another target
    Then the reports to the balancer are HELD, RETURNED

  Scenario: A flow that the target lost is reset
    Given an agent whose target serves
    And an open flow
    When data of the flow arrives
    And the target bounces it
    Then the client's flow is reset
    And the reports to the balancer are ENDED

  Scenario: A flow of an earlier incarnation is reset
    Given an agent whose target serves
    And its target started again
    When data arrives for the earlier incarnation
    Then the client's flow is reset

  Scenario: An agent that does not know all flows probes the target before a reset
    Given an agent that restarted while its target ran
    When data arrives for the earlier incarnation
    Then the target got 1 packet, unchanged
    And no flow is reset

  Scenario: Flows of a target whose process has ended are reset at once
    Given an agent whose target serves
    And an open flow
    When the target's process is found to have ended
    Then the client's flow is reset

  Scenario: A target that announced its end keeps its flows while it runs
    Given an agent whose target serves
    And an open flow
    When its target announces its end
    And data of the flow arrives
    Then the target got 1 packet
    And no flow is reset

  Scenario: Data without any reaction of the target triggers a check
    Given an agent whose target serves
    And an open flow
    When data of the flow arrives
    And 0.4 s go by
    Then the target was checked once

  Scenario: A target whose address may have been reassigned gets no new flow
    Given an agent whose target serves
    When 1.95 s go by
    And a SYN arrives
    Then the target got 0 packets

  Scenario: Flows recorded before a power loss are reset when the target has restarted
    Given an agent whose target serves
    And an open flow
    When 3 s go by
    Then the record names the flow
    When the agent and its target lose power
    And the agent reads the record
    And the target starts with a later incarnation
    Then the client's flow is reset

  Scenario: Recorded flows of a killed agent survive if their target still runs
    Given an agent whose target serves
    And an open flow
    When 3 s go by
    And the agent is killed
    And the agent reads the record
    Then no flow is reset

  Scenario: A recorded flow that has been reopened is not reset
    Given an agent whose target serves
    And an open flow
    When 3 s go by
    And the agent and its target lose power
    And the target starts with a later incarnation
    And the flow is opened again
    And the agent reads the record
    Then no flow is reset

  Scenario Outline: A malformed record is refused
    Given a record with the content <content>
    Then the record is refused

    Examples:
      | content                             |
      | null                                |
      | {}                                  |
      | {"incarnation": 1, "flows": 7}      |
      | {"incarnation": "x", "flows": ""}   |
      | {"incarnation": 1, "flows": "*"}    |

  Scenario: A draining target keeps its flows
    Given an agent whose target serves
    And an open flow
    When its target starts to drain
    And data of the flow arrives
    Then the target got 1 packet

  Scenario Outline: Outdated heartbeats are ignored
    Given an agent whose target serves
    When a draining heartbeat arrives, <change>
    Then the heartbeat is <effect>

    Examples:
      | change                       | effect          |
      | of a lower sequence          | stale           |
      | of an earlier incarnation    | stale           |
      | of a higher sequence         | changed         |
      | of a later incarnation       | new incarnation |

  Scenario: A lower incarnation is accepted once the higher one is silent
    Given an agent whose target serves
    When 5 s go by
    And a draining heartbeat arrives, of an earlier incarnation
    Then the heartbeat is new incarnation

  Scenario: A cold target gets no more new flows per second than its limit
    Given an agent whose cold target takes 4 new flows a second
    When 30 SYNs arrive, one each 0.1 s
    Then the target got at most 10 SYNs in any second

  Scenario: Packets match the reference bytes
    Given the reference bytes of a SYN
    Then its reset has the reference bytes

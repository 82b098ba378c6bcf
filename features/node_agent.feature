Feature: An agent on the users' platform lets its target decide

  Scenario: A SYN that the target answers opens a flow
    Given an agent whose target serves
    When a SYN arrives
    And the target answers the SYN
    Then the target got 1 packet, as the client wrote it
    And the client got 1 packet
    And the balancer is told HELD

  Scenario Outline: A SYN that the target may not take goes to the next candidate
    Given an agent whose target <state>
    When a SYN arrives
    Then the target got 0 packets
    And the SYN goes to 10.1.0.14 with 1 candidate left
    And the balancer is told ABSENT

    Examples:
      | state                    |
      | is not known yet         |
      | drains                   |
      | left                     |
      | serves another service   |
      | missed its heartbeats    |

  Scenario: The last candidate sends the SYN back
    Given an agent whose target drains
    When a SYN arrives that names no other candidate
    Then the balancer is told REFUSED with the SYN

  Scenario: A bounced SYN goes on as the client wrote it
    Given an agent whose target serves
    When a SYN arrives
    And the target bounces it
    Then the SYN goes to 10.1.0.14 with 1 candidate left

  Scenario: A target with as much work as it can do in time gets no new flow
    Given an agent whose target serves
    When 20 SYNs arrive, one each 0 s
    Then the target got 14 packets

  Scenario: Data that is sent again is no new work
    Given an agent whose target serves
    And an open flow
    When the target answers the data
    And the same data arrives again
    Then the target has 0 requests at work

  Scenario: Data that is never answered counts as work for a while only
    Given an agent whose target serves
    And an open flow
    Then the target has 1 requests at work
    When 3 s go by
    Then the target has 0 requests at work

  Scenario: A closed flow is no load, and its late packets still reach the target
    Given an agent whose target serves
    And an open flow
    When both ends close it
    Then the load told is 0 flows
    When the client closes again
    Then the target got 2 packets

  Scenario: A copy of a SYN follows the first
    Given an agent whose target serves
    When a SYN arrives
    And the target answers the SYN
    And its target drains now
    And a SYN arrives
    Then the target got 2 packets, as the client wrote it

  Scenario: A SYN that the target leaves unanswered goes on, and the target is checked
    Given an agent whose target serves
    When a SYN arrives
    And 0.2 s go by
    Then the SYN goes to 10.1.0.14 with 1 candidate left
    And the target was checked once

  Scenario: An agent that saw its target start lets no strange packet through
    Given an agent whose target serves
    When data of an unknown flow arrives in a search
    Then the target got 0 packets
    And the balancer is told ABSENT for sure

  Scenario: An agent that restarted beside a target asks the target
    Given an agent that restarted beside its target
    When data of an unknown flow arrives in a search
    And the target bounces it
    Then the target got 1 packet, as the client wrote it
    And the balancer is told ABSENT for sure

  Scenario: An agent that restarted adopts a flow that the target keeps
    Given an agent that restarted beside its target
    When data of an unknown flow arrives in a search
    And 0.1 s go by
    Then the balancer is told HELD

  Scenario: A packet that no target was there to get proves nothing
    Given an agent that restarted, and no target yet
    When data of an unknown flow arrives in a search
    And the target starts within 0.02 s
    And 0.1 s go by
    Then the balancer is told nothing

  Scenario: A flow that was adopted on silence alone is searched for, not reset
    Given an agent that restarted beside its target
    When data of an unknown flow arrives in a search
    And 0.1 s go by
    And data of the flow arrives
    And the target bounces it
    Then no flow is reset
    And the balancer is told HELD, RETURNED

  Scenario: Data for another target's answer goes back
    Given an agent whose target serves
    When a SYN arrives
    And the target answers the SYN
    And data arrives that acknowledges another target
    Then the balancer is told HELD, RETURNED

  Scenario: A flow that the target lost is reset
    Given an agent whose target serves
    And an open flow
    When data of the flow arrives
    And the target bounces it
    Then the client's flow is reset
    And the balancer is told ENDED

  Scenario: A flow of an earlier incarnation is reset
    Given an agent whose target serves
    And its target started again
    When data arrives for the earlier incarnation
    Then the client's flow is reset

  Scenario: An agent that is not sure asks the target before it resets
    Given an agent that restarted beside its target
    When data arrives for the earlier incarnation
    Then the target got 1 packet, as the client wrote it
    And no flow is reset

  Scenario: Flows of a target whose process ended are reset at once
    Given an agent whose target serves
    And an open flow
    When nothing listens at the target any more
    Then the client's flow is reset

  Scenario: A target that left keeps its flows while it runs
    Given an agent whose target serves
    And an open flow
    When its target leaves
    And data of the flow arrives
    Then the target got 1 packet
    And no flow is reset

  Scenario: Data that nothing follows has the target checked
    Given an agent whose target serves
    And an open flow
    When data of the flow arrives
    And 0.4 s go by
    Then the target was checked once

  Scenario: A target whose address may serve another by now gets no new flow
    Given an agent whose target serves
    When 1.95 s go by
    And a SYN arrives
    Then the target got 0 packets

  Scenario: Flows recorded before a power loss are reset when the target is another
    Given an agent whose target serves
    And an open flow
    When 3 s go by
    Then the record names the flow
    When the agent and its target lose power
    And the agent reads the record
    And the target starts with a later incarnation
    Then the client's flow is reset

  Scenario: Flows recorded before the agent was killed live on with their target
    Given an agent whose target serves
    And an open flow
    When 3 s go by
    And the agent is killed
    And the agent reads the record
    Then no flow is reset

  Scenario: A flow that is open again is not reset by a record
    Given an agent whose target serves
    And an open flow
    When 3 s go by
    And the agent and its target lose power
    And the target starts with a later incarnation
    And the flow is opened again
    And the agent reads the record
    Then no flow is reset

  Scenario Outline: Records of other writers reset nothing
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
    When its target drains now
    And data of the flow arrives
    Then the target got 1 packet

  Scenario Outline: Heartbeats that are late change nothing
    Given an agent whose target serves
    When a heartbeat comes that says drains, <change>
    Then the heartbeat is <effect>

    Examples:
      | change                       | effect          |
      | of a lower sequence          | stale           |
      | of an earlier incarnation    | stale           |
      | of a higher sequence         | changed         |
      | of a later incarnation       | new incarnation |

  Scenario: An earlier start counts once the later one is silent
    Given an agent whose target serves
    When 5 s go by
    And a heartbeat comes that says drains, of an earlier incarnation
    Then the heartbeat is new incarnation

  Scenario: A cold target gets what it bears in any second
    Given an agent whose cold target bears 4 a second
    When 30 SYNs arrive, one each 0.1 s
    Then the target got at most 10 SYNs in any second

  Scenario: The bench's own example of bytes
    Given the example of a SYN
    Then its reset is the example of a reset

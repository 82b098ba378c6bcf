Feature: A balancer places new flows and finds the holders of others

  Scenario: A SYN is sent to an agent, with the others as candidates
    Given a balancer that knows 3 agents
    When the client sends a SYN
    Then the frames sent are OPEN
    And the first frame names 2 candidates and the service's digest

  Scenario: A new flow goes to the target with the lowest response time
    Given a balancer that knows 3 agents
    And agent 1 reports 90 ms, agent 2 reports 20 ms, agent 3 reports 60 ms
    When the client sends a SYN
    Then the frame goes to agent 2

  Scenario: Packets of a confirmed flow are sent to its holder
    Given a balancer that knows 3 agents
    And a flow that agent 2 holds
    When the client sends data
    Then the frames sent are TO_HOLDER
    And the frame goes to agent 2

  Scenario: A retransmitted SYN follows the first
    Given a balancer that knows 3 agents
    And a flow that agent 2 holds
    When the client sends a SYN
    Then the frames sent are OPEN
    And the frame goes to agent 2

  Scenario: An unanswered SYN marks its agent as silent and goes to another agent
    Given a balancer that knows 3 agents
    When the client sends a SYN
    And 0.1 s go by
    Then the SYN went to 2 agents
    And 1 agent is pinged

  Scenario: The entry of an agent that stays silent is removed
    Given a balancer that knows 3 agents
    When the client sends a SYN
    And 19 s go by while agent 3 answers
    Then no entry is removed
    When 2 s go by while agent 3 answers
    Then 2 entries are removed

  # Guards against a balancer that is cut off and takes its own silence for the
  # end of agents that others reach.
  Scenario: A balancer that hears nobody removes nobody
    Given a balancer that knows 3 agents
    When the client sends a SYN
    And 30 s go by
    Then no entry is removed

  # Guards against open flows that are reset since another balancer has removed
  # the entry of the agent that holds them.
  Scenario: An agent that answers but has no entry is told so
    Given a balancer that knows 3 agents
    And a flow that agent 2 holds
    When the entry of agent 2 vanishes
    Then agent 2 is told within 0.4 s that it has no entry

  Scenario: A balancer is cut off while no agent answers
    Given a balancer that knows 3 agents
    And a flow that agent 2 holds
    When 3 s go by
    Then it is not cut off
    When the client sends a SYN from another port
    And 0.9 s go by
    Then it is cut off
    When agent 3 answers a ping
    Then it is not cut off

  Scenario: A SYN that all agents refuse is retried, then reset
    Given a balancer that knows 1 agents
    When the client sends a SYN
    And agent 1 refuses it whenever it comes, for 1.2 s
    Then the client's attempt is reset after 0.8 s to 1.05 s
    And the SYN went to the only agent 5 times or more

  Scenario: A SYN to an address without a route is reset
    Given a balancer that knows 3 agents
    When the client sends a SYN to an address without a route
    Then the client's attempt is reset at once

  Scenario: A balancer without a directory resets nothing
    Given a balancer that has read nothing from the store
    When the client sends a SYN
    Then nothing is sent and nothing is reset

  Scenario: An answer that waits in the socket does not count as missing
    Given a balancer that knows 3 agents
    When the client sends a SYN
    And the balancer is busy for 0.5 s while the agent's answer waits
    Then 1 OPEN frames were sent

  Scenario: No timeout runs while more datagrams wait than one read takes
    Given a balancer that knows 3 agents
    When the client sends a SYN
    And the balancer is busy for 0.5 s while more waits than it reads at once
    Then 1 OPEN frames were sent

  Scenario: The holder of a flow without a hint is searched for
    Given a balancer that knows 3 agents
    When the client sends data
    And the client sends data
    And agent 3 reports that it holds the flow
    Then the frames sent are DELEGATED_SEARCH, TO_HOLDER
    And the last frame goes to agent 3

  Scenario: A search includes agents of services that left the route
    Given a balancer that knows 3 agents
    And a manifest that sends the address to another service
    When the client sends data
    Then the frames sent are DELEGATED_SEARCH
    And the search names 3 agents

  Scenario: The next packet repeats a search without an answer
    Given a balancer that knows 3 agents
    When the client sends data
    And 0.3 s go by
    And the client sends data
    Then 3 DELEGATED_SEARCH frames were sent
    And each went to another agent

  Scenario: A repeated search includes agents that have joined
    Given a balancer that knows 3 agents
    When the client sends data
    And another agent has joined
    And 0.3 s go by
    And the client sends data
    Then the last search names 4 agents
    When the coordinator reports that all agents deny the flow
    And the current list of agents arrives
    Then no flow is reset yet

  Scenario: A returned packet triggers a search
    Given a balancer that knows 3 agents
    And a flow that agent 2 holds
    When agent 2 returns data of the flow
    Then the frames sent are DELEGATED_SEARCH

  Scenario: A flow that every agent denies is reset once a current agent list confirms it
    Given a balancer that knows 3 agents
    When the client sends data
    And the coordinator reports that all agents deny the flow
    Then no flow is reset yet
    When the current list of agents arrives
    Then the client's flow is reset at once

  Scenario Outline: No reset without proof
    Given a balancer that knows 3 agents
    When the client sends data
    And <what>
    And the current list of agents arrives
    Then no flow is reset yet

    Examples:
      | what                                                                     |
      | 0.2 s go by                                                              |
      | the coordinator's own target does not hold the flow                      |
      | the coordinator reports that all agents deny it, and another one joined  |

  Scenario: A report that names a newer manifest makes the balancer request it
    Given a balancer that knows 3 agents
    When agent 1 reports manifest 9
    Then the manifest is requested

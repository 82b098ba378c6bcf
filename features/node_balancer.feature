Feature: A balancer on the users' platform keeps hints only

  Scenario: A SYN goes to an agent, with the others as candidates
    Given a balancer that knows 3 agents
    When the client sends a SYN
    Then the frames sent are OPEN
    And the first frame names 2 candidates and the service's digest

  Scenario: A new flow goes where the target answers soonest
    Given a balancer that knows 3 agents
    And agent 1 reports 90 ms, agent 2 reports 20 ms, agent 3 reports 60 ms
    When the client sends a SYN
    Then the frame goes to agent 2

  Scenario: Packets of a confirmed flow go to its holder
    Given a balancer that knows 3 agents
    And a flow that agent 2 holds
    When the client sends data
    Then the frames sent are TO_HOLDER
    And the frame goes to agent 2

  Scenario: A copy of a SYN follows the first
    Given a balancer that knows 3 agents
    And a flow that agent 2 holds
    When the client sends a SYN
    Then the frames sent are OPEN
    And the frame goes to agent 2

  Scenario: An agent that leaves a SYN unanswered is silent, and another gets it
    Given a balancer that knows 3 agents
    When the client sends a SYN
    And 0.1 s go by
    Then the SYN went to 2 agents
    And 1 agent is pinged

  Scenario: An agent that answers nothing for long loses its entry
    Given a balancer that knows 3 agents
    When the client sends a SYN
    And 19 s go by
    Then no entry is removed
    When 2 s go by
    Then 2 or more entries are removed

  Scenario: A balancer that hears no agent is cut off, until it hears one
    Given a balancer that knows 3 agents
    And a flow that agent 2 holds
    When 3 s go by
    Then it is not cut off
    When the client sends a SYN from another port
    And 0.9 s go by
    Then it is cut off
    When agent 3 answers a ping
    Then it is not cut off

  Scenario: When all agents refuse, the SYN waits for a moment and is then refused
    Given a balancer that knows 1 agents
    When the client sends a SYN
    And agent 1 refuses it whenever it comes, for 1.2 s
    Then the client's attempt is reset after 0.8 s to 1.05 s
    And the SYN went to the only agent 5 times or more

  Scenario: A SYN that nobody may take is reset
    Given a balancer that knows 3 agents
    When the client sends a SYN to an address without a route
    Then the client's attempt is reset at once

  Scenario: A balancer that knows nothing yet resets nothing
    Given a balancer that has read nothing
    When the client sends a SYN
    Then nothing is sent and nothing is reset

  Scenario: An evacuated data centre gets no new flows
    Given a balancer that knows 3 agents
    And data centres zone-1 and zone-3 are evacuated
    When the client sends a SYN
    Then the frame goes to agent 2
    And the first frame names 0 candidates and the service's digest

  Scenario: An answer that waited while the balancer was busy is no silence
    Given a balancer that knows 3 agents
    When the client sends a SYN
    And the balancer is busy for 0.5 s while the agent's answer waits
    Then 1 OPEN frames were sent

  Scenario: What waits beyond one reading leaves nobody silent
    Given a balancer that knows 3 agents
    When the client sends a SYN
    And the balancer is busy for 0.5 s while more waits than it reads at once
    Then 1 OPEN frames were sent

  Scenario: A flow without a hint is searched for by an agent
    Given a balancer that knows 3 agents
    When the client sends data
    And the client sends data
    And agent 3 says that it holds the flow
    Then the frames sent are DELEGATED_SEARCH, TO_HOLDER
    And the last frame goes to agent 3

  Scenario: A search includes agents of services that the route left
    Given a balancer that knows 3 agents
    And a manifest that sends the address to another service
    When the client sends data
    Then the frames sent are DELEGATED_SEARCH
    And the search names 3 agents

  Scenario: A search that found nobody starts again with the next packet
    Given a balancer that knows 3 agents
    When the client sends data
    And 0.3 s go by
    And the client sends data
    Then 3 DELEGATED_SEARCH frames were sent
    And each went to another agent

  Scenario: A search that goes on includes agents that came meanwhile
    Given a balancer that knows 3 agents
    When the client sends data
    And another agent has appeared
    And 0.3 s go by
    And the client sends data
    Then the last search names 4 agents
    When the scout says that all agents deny the flow
    And the list of agents is verified
    Then no flow is reset yet

  Scenario: A packet that comes back is searched for
    Given a balancer that knows 3 agents
    And a flow that agent 2 holds
    When agent 2 returns data of the flow
    Then the frames sent are DELEGATED_SEARCH

  Scenario: A flow that every agent denies is reset once the list is as of now
    Given a balancer that knows 3 agents
    When the client sends data
    And the scout says that all agents deny the flow
    Then no flow is reset yet
    When the list of agents is verified
    Then the client's flow is reset at once

  Scenario Outline: No reset without proof
    Given a balancer that knows 3 agents
    When the client sends data
    And <what>
    And the list of agents is verified
    Then no flow is reset yet

    Examples:
      | what                                                                |
      | 0.2 s go by                                                         |
      | the scout's own target does not hold the flow                       |
      | the scout says that all agents deny it, and another one has appeared |

  Scenario: News of a newer manifest makes the balancer ask for it
    Given a balancer that knows 3 agents
    When agent 1 tells of manifest 9
    Then the manifest is asked for

Feature: Agents find the holder of a flow for balancers

  A balancer asks one agent, its scout, which asks the others. The homes of a
  flow are told who holds it, so that a search costs the same however many
  agents there are.

  Scenario: A scout that knows nothing asks every agent that the balancer names
    Given an agent whose target serves
    When a balancer has it search among 4 agents
    Then it asks agents 1, 2, 3, 4

  Scenario: A home asks only the holder
    Given an agent whose target serves
    And agent 3 said that it holds the flow
    When a balancer has it search among 4 agents
    Then it asks agents 3

  Scenario: A home whose record is wrong asks the others
    Given an agent whose target serves
    And agent 3 said that it holds the flow
    When a balancer has it search among 4 agents
    And agents 3 deny the flow
    Then it asks agents 3, 1, 2, 4

  Scenario: A record of an agent that the balancer does not name is no help
    Given an agent whose target serves
    And agent 9 said that it holds the flow
    When a balancer has it search among 4 agents
    Then it asks agents 1, 2, 3, 4

  Scenario: A scout tells the balancer when everybody denies the flow
    Given an agent whose target serves
    When a balancer has it search among 4 agents
    And agents 1, 2, 3, 4 deny the flow
    Then the balancer is told NOT_FOUND for sure

  Scenario Outline: A scout tells nothing without proof
    Given an agent whose target serves
    When a balancer has it search among 4 agents
    And <what>
    Then the balancer is told nothing

    Examples:
      | what                                         |
      | agents 1, 2, 4 deny the flow                 |
      | agents 1, 2, 3, 4 deny the flow, 2 is unsure |
      | agents 1, 2, 3, 9 deny the flow              |

  Scenario: The asked agent answers the scout, the holder the balancer
    Given an agent whose target serves
    When a scout asks for a flow that it does not hold
    Then the scout is told ABSENT
    Given an open flow
    When a scout asks for a flow that it holds
    Then the balancer is told HELD

  Scenario: The homes of a flow that lasts are told
    Given an agent whose target serves
    When a SYN arrives that names two homes
    And the target answers the SYN
    And 1 s go by
    Then both homes are told HOLDER_RECORD

  Scenario: A flow that is soon over is told to nobody
    Given an agent whose target serves
    When a SYN arrives that names two homes
    And the target answers the SYN
    And a reset comes back for it
    And 1 s go by
    Then no home is told

  Scenario: Records of flows that can live no more are forgotten
    Given an agent whose target serves
    And agent 3 said that it holds the flow
    When 121 s go by
    And a balancer has it search among 4 agents
    Then it asks agents 1, 2, 3, 4

  Scenario: All agree on the homes, and a new agent moves few
    Given a ring of 40 agents
    When an agent joins
    Then fewer than 12 of 200 flows have another first home
    And the homes of each flow are two agents

Feature: Agents search for the holder of a flow on behalf of balancers

  A balancer asks one agent, the coordinator, which asks the others. The record
  keepers of a flow know its holder, so that a search costs the same however
  many agents there are.

  Scenario: A coordinator without a record asks all candidates
    Given an agent whose target serves
    When a balancer requests a search among 4 agents
    Then it asks agents 1, 2, 3, 4

  Scenario: A record keeper asks only the recorded holder
    Given an agent whose target serves
    And agent 3 has sent its holder record of the flow
    When a balancer requests a search among 4 agents
    Then it asks agents 3

  Scenario: A record keeper whose record is wrong asks the other candidates
    Given an agent whose target serves
    And agent 3 has sent its holder record of the flow
    When a balancer requests a search among 4 agents
    And agents 3 deny the flow
    Then it asks agents 3, 1, 2, 4

  Scenario: A record that names an agent outside the candidates is ignored
    Given an agent whose target serves
    And agent 9 has sent its holder record of the flow
    When a balancer requests a search among 4 agents
    Then it asks agents 1, 2, 3, 4

  Scenario: A coordinator reports when all candidates deny the flow
    Given an agent whose target serves
    When a balancer requests a search among 4 agents
    And agents 1, 2, 3, 4 deny the flow
    Then the balancer gets the authoritative report NOT_FOUND

  Scenario Outline: A coordinator reports nothing without proof
    Given an agent whose target serves
    When a balancer requests a search among 4 agents
    And <what>
    Then the balancer gets no report

    Examples:
      | what                                                         |
      | agents 1, 2, 4 deny the flow                                 |
      | agents 1, 2, 3, 4 deny the flow, agent 2 not authoritatively |
      | agents 1, 2, 3, 9 deny the flow                              |

  Scenario: The holder reports to the balancer, other agents to the coordinator
    Given an agent whose target serves
    When a coordinator asks for a flow that it does not hold
    Then the coordinator gets the report ABSENT
    Given an open flow
    When a coordinator asks for a flow that it holds
    Then the reports to the balancer are HELD

  Scenario: The record keepers of a lasting flow are notified
    Given an agent whose target serves
    When a SYN arrives that names two record keepers
    And the target answers the SYN
    And 1 s go by
    Then both record keepers get the report HOLDER_RECORD

  Scenario: The record keepers of a short flow are not notified
    Given an agent whose target serves
    When a SYN arrives that names two record keepers
    And the target answers the SYN
    And a reset comes back for it
    And 1 s go by
    Then no record keeper is notified

  Scenario: Records of flows beyond their maximum lifetime expire
    Given an agent whose target serves
    And agent 3 has sent its holder record of the flow
    When 121 s go by
    And a balancer requests a search among 4 agents
    Then it asks agents 1, 2, 3, 4

  Scenario: A new agent changes the record keepers of few flows
    Given a ring of 40 agents
    When an agent joins
    Then fewer than 12 of 200 flows have another first record keeper
    And each flow has two record keepers

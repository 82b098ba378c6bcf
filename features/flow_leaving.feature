Feature: Flows during planned changes
  Records follow changes of the record keepers, an agent that leaves loses
  none, and an agent that restarts gets its flows back.

  Scenario: Records are replicated again in batches
    Given a flow fleet of 7 agents where one holds 4000 flows
    When 3 agents join the flow fleet
    Then no tick sends more than 400 flow records
    And 21 ticks later both record keepers of every flow have its record

  Scenario: A closed flow retracts its records
    Given a flow fleet of 7 agents with a flow
    When the flow is closed and its linger time is over
    Then no agent stores the flow record

  Scenario: An agent may leave once it holds no flow and its records are transferred
    Given a flow fleet of 7 agents with 200 flows
    When the home of the first flow drains
    Then it may leave the flow fleet only after its flows are closed
    And the flow records that it stored are at two other agents

  Scenario Outline: A restarted agent resumes its flows
    Given a flow fleet of 7 agents with 400 flows
    When an agent hands its flows over, losing <loss>
    And its next incarnation starts, losing <loss>
    Then the flows and the ledger are back
    And every flow packet is delivered at its former holder

    Examples:
      | loss                |
      | no messages         |
      | every third message |

  Scenario: An agent whose data centre was taken out recovers no flows
    Given a flow fleet of 7 agents with 400 flows
    When an agent hands its flows over and its data centre goes out
    And its next incarnation starts
    Then the restarted agent holds no flow

  Scenario: A handover survives taking a keeper's data centre out
    Given a flow fleet of 7 agents with 400 flows
    When an agent hands its flows over, losing no messages
    And the data centre of one keeper is taken out as it starts again
    Then the flows and the ledger are back

  Scenario: A restarted agent that drains at once waits for its flows
    Given a flow fleet of 7 agents with 400 flows
    When an agent hands its flows over, losing no messages
    And its next incarnation has just started
    Then it may not leave before its flows are back

  Scenario: A ledger is adopted by one incarnation only
    Given a flow fleet of 7 agents with 400 flows
    When an agent hands its flows over, losing no messages
    And its next incarnation starts while one keeper is unreachable
    Then the flows are back and the ledger is not
    When that keeper is reachable and a third incarnation starts
    Then the ledger is not adopted

  Scenario: Records received while a data centre is out are kept
    Given a flow fleet of 7 agents with 200 flows
    When records reach an agent whose data centre is not yet back in
    Then those flow records are kept

  Scenario Outline: A randomised run breaks no flow
    When a flow run of <events> messages is made with seed <seed>
    Then it checked over <checks> flow packets and broke no flow

    Examples:
      | seed | events | checks |
      | 101  | 30000  | 4000   |
      | 102  | 30000  | 4000   |

  Scenario: The same run without records breaks flows
    When a flow run of 60000 messages is made without records
    Then the run broke at least one flow

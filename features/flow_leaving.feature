Feature: Flows through planned changes
  Records move with their homes, an agent that leaves loses none, and one
  that restarts gets its flows back.

  Scenario: Records are told again in slices
    Given a flow fleet of 7 agents where one holds 4000 flows
    When 3 agents join the flow fleet
    Then no tick sends more than 400 flow records
    And 21 ticks later both keepers of every flow know its holder

  Scenario: A closed flow takes its records back
    Given a flow fleet of 7 agents with a flow
    When the flow is closed and its linger time is over
    Then no agent keeps the flow record

  Scenario: An agent leaves when it holds no flow and its records stand
    Given a flow fleet of 7 agents with 200 flows
    When the home of the first flow drains
    Then it may leave the flow fleet only after its flows are closed
    And the flow records that it kept stand at two others

  Scenario Outline: A restarted agent serves its flows on
    Given a flow fleet of 7 agents with 400 flows
    When an agent hands its flows over with <loss> messages lost
    And its next incarnation starts with <loss> messages lost
    Then the flows and the ledger are back
    And every flow packet is delivered at its former holder

    Examples:
      | loss         |
      | no           |
      | every third  |

  Scenario: Nothing comes back to a data centre that was taken out
    Given a flow fleet of 7 agents with 400 flows
    When an agent hands its flows over and its data centre goes out
    And its next incarnation starts
    Then the restarted agent holds no flow

  Scenario: A data centre that is taken out meanwhile loses nothing
    Given a flow fleet of 7 agents with 400 flows
    When an agent hands its flows over with no messages lost
    And another data centre is taken out, and its next incarnation starts
    Then the flows and the ledger are back

  Scenario: A restarted agent that drains at once waits for its flows
    Given a flow fleet of 7 agents with 400 flows
    When an agent hands its flows over with no messages lost
    And it is about to start again
    Then it may not leave before its flows are back

  Scenario: A ledger is adopted by one incarnation only
    Given a flow fleet of 7 agents with 400 flows
    When an agent hands its flows over with no messages lost
    And its next incarnation starts with one keeper out of reach
    Then the flows are back and the ledger is not
    When its keeper is in reach and a third incarnation starts
    Then the ledger is not adopted

  Scenario: Records told to an agent that is out stand when it is back
    Given a flow fleet of 7 agents with 200 flows
    When a data centre is out and records are told there before it is back
    Then those flow records stand

  Scenario Outline: A randomised run breaks no flow
    When a flow run of <events> messages is made with seed <seed>
    Then it checked over <checks> flow packets and broke no flow

    Examples:
      | seed | events | checks |
      | 101  | 30000  | 4000   |
      | 102  | 30000  | 4000   |

  Scenario: The same run without records breaks flows
    When a flow run of 60000 messages is made without records
    Then it broke some flow

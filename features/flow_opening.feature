Feature: Opening of flows
  A new flow is placed at one agent only: the least loaded candidate with
  free capacity.

  Scenario: An assigned open goes to the next lightest agent if its own is full
    Given a flow fleet of 7 agents
    When the lightest flow candidate fills up after its report
    Then the flow is held by the next lightest

  Scenario: An open is refused if every candidate is full
    Given a flow fleet of 7 agents
    When every agent is full and a flow is opened
    Then the flow open is refused with code 200

  Scenario: A draining agent takes no new flow
    Given a flow fleet of 7 agents
    When agent c drains and 50 flows are opened
    Then agent c holds 0 flows and the others 50

  Scenario: An open is delivered once its records are acknowledged
    Given a flow fleet of 7 agents
    When a flow is opened while its records are lost
    Then no flow packet is delivered
    When flow records are no longer lost
    Then the flow open is delivered once

  Scenario: A repeated open finds the flow, also with an older view
    Given a flow fleet of 7 agents with a flow
    When 3 agents join and the flow is opened again with the older view
    Then the flow has one holder, the first

  Scenario: Of two holders of a flow, the older one remains
    Given a flow fleet of 7 agents with a flow
    When another agent accepts the same flow 1 second later
    Then the flow has one holder, the first

  Scenario: The number of remembered opens is bounded
    Given a flow fleet of 7 agents
    When 30000 flow opens pass through and their messages are lost
    Then no agent remembers more than 4096 flow opens

  Scenario: A repeated open is placed although a candidate is dead
    Given a flow fleet of 7 agents
    When a flow candidate has died undetected and the flow is opened twice
    Then the flow has one holder

  Scenario: An open that the network duplicates is placed once
    Given a flow fleet of 7 agents
    When a flow is opened and every message of the open is duplicated
    Then the flow has one holder
    And the flow open is delivered once

  Scenario: A packet is not refused while its holder's data centre may be in again
    Given a flow fleet of 7 agents with a flow
    When its home still sees the holder's data centre out
    And the flow is searched for from its home
    Then no flow packet is refused

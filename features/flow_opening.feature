Feature: The flow opener
  A new flow goes to the lightest target with room, and to one only.

  Scenario: An assigned open that meets a full target goes to the next
    Given a flow fleet of 7 agents
    When the lightest flow candidate fills up after its report
    Then the flow is held by the next lightest

  Scenario: An open that no candidate can bear is refused
    Given a flow fleet of 7 agents
    When every agent is full and a flow is opened
    Then the flow open is refused with code 200

  Scenario: A draining agent takes no new flow
    Given a flow fleet of 7 agents
    When agent c drains and 50 flows are opened
    Then agent c holds 0 flows and the others 50

  Scenario: An open is delivered once its records stand
    Given a flow fleet of 7 agents
    When a flow is opened while its records are lost
    Then no flow packet is delivered
    When the flow records get through
    Then the flow open is delivered once

  Scenario: A repeated open finds the flow, by an older view too
    Given a flow fleet of 7 agents with a flow
    When 3 agents join and the flow is opened again by the older view
    Then the flow has one holder, the first

  Scenario: Of two holders of a flow the older goes on
    Given a flow fleet of 7 agents with a flow
    When another agent takes the same flow 1 second later
    Then the flow has one holder, the first

  Scenario: Opens that are being placed are bounded
    Given a flow fleet of 7 agents
    When 30000 flow opens pass through and their messages are lost
    Then no agent waits for more than 4096 flow opens

  Scenario: A repeated open is placed although a candidate is dead
    Given a flow fleet of 7 agents
    When a flow candidate is dead unnoticed and the flow is opened twice
    Then the flow has one holder

  Scenario: An open that the network doubles on its way is placed once
    Given a flow fleet of 7 agents
    When a flow is opened and every message of the open is doubled
    Then the flow has one holder
    And the flow open is delivered once

  Scenario: A holder in a data centre that may be back in is not refused
    Given a flow fleet of 7 agents with a flow
    When its home still sees the holder's data centre out
    And the flow is searched for from its home
    Then no flow packet is refused

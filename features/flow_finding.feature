Feature: Flow search
  A packet reaches the holder of its flow, whichever view its balancer used.
  It is never delivered to another service or on another flow.

  Scenario Outline: The flow is found although <fault>
    Given a flow fleet of 7 agents with a flow
    When the flow is disturbed: <fault>
    And a flow packet is sent
    Then the flow packet is delivered once, at the holder
    And the flow search took at most <hops> hops

    Examples:
      | fault                                      | hops |
      | a hint names an agent that is no candidate | 3    |
      | a hint names another candidate             | 3    |
      | its home has a stale record                | 6    |
      | its two record keepers have stale records  | 8    |

  Scenario Outline: A flow whose holder is no candidate is found although <fault>
    Given a flow fleet of 15 agents with a flow whose holder is no candidate
    When the flow is disturbed: <fault>
    And a flow packet is sent
    Then the flow packet is delivered once, at the holder
    And the flow search took at most <hops> hops

    Examples:
      | fault                                       | hops |
      | a hint names an agent that is no candidate  | 3    |
      | a hint names another candidate              | 3    |
      | the balancer has not seen three joins       | 8    |
      | the agents have not seen three joins        | 8    |
      | an agent joins that becomes its home        | 8    |
      | its home leaves gracefully                  | 8    |
      | its home dies                               | 8    |
      | a hint names its second after its home left | 8    |
      | both record keepers restart, one by one     | 3    |
      | both record keepers restart undetected      | 3    |

  Scenario Outline: A packet is delivered nowhere when <fault>
    Given a flow fleet of 7 agents with a flow
    When the flow is disturbed: <fault>
    And a flow packet is sent
    Then no flow packet is delivered
    And the flow packet ends with code <code>

    Examples:
      | fault                                    | code |
      | its records form a loop                  | 201  |
      | its route names another service          | 707  |
      | its data centre is taken out             | 201  |
      | its data centre is taken out and back in | 201  |
      | its route has an unknown view version    | 708  |

  Scenario Outline: Records of one holder are ordered by incarnation and sequence
    Given a flow fleet of 7 agents with a flow
    When its home receives flow records <first> and then <second>
    Then its home stores flow record <kept>

    Examples:
      | first | second | kept  |
      | 9.1   | 9.2    | 9.2   |
      | 9.2   | 9.1    | 9.2   |
      | 9.7   | 10.1   | 10.1  |
      | 10.1  | 9.7    | 10.1  |

  Scenario: A balancer gets at most one hint about a flow per second
    Given a flow fleet of 7 agents with a flow held away from its home
    When 10 flow packets are sent to its home within 1 second
    Then 1 flow hint is sent
    When 10 flow packets are sent to its home a second later
    Then 2 flow hints are sent

  Scenario: A hint to a data centre that is out is ignored
    Given a flow balancer whose view has hel-a out
    When a flow hint names a holder in hel-a
    Then the flow balancer steers to no agent in hel-a

  # Guards against a balancer that ends by an empty packet of any client.
  Scenario: An empty packet of a flow of requests follows the flow
    Given a flow balancer of a service that takes requests
    When the client of a known flow sends an empty packet
    Then the flow balancer takes it for a packet within the flow

Feature: The flow finder
  A packet finds the holder of its flow whatever view it was sent by; it is
  never delivered to another service or to a flow other than its own.

  Scenario Outline: The flow is found although <fault>
    Given a flow fleet of 7 agents with a flow
    When the flow meets <fault>
    And a flow packet is sent
    Then the flow packet is delivered once, at the holder
    And the flow search took at most <hops> hops

    Examples:
      | fault                                    | hops |
      | a hint to an agent that is no candidate  | 3    |
      | a hint to another candidate              | 3    |
      | a stale record at its home               | 6    |
      | stale records at home and second         | 8    |

  Scenario Outline: A flow whose holder is no candidate is found although <fault>
    Given a flow fleet of 15 agents with a flow whose holder is no candidate
    When the flow meets <fault>
    And a flow packet is sent
    Then the flow packet is delivered once, at the holder
    And the flow search took at most <hops> hops

    Examples:
      | fault                                    | hops |
      | a hint to an agent that is no candidate  | 3    |
      | a hint to another candidate              | 3    |
      | a balancer three joins behind            | 8    |
      | a balancer three joins ahead             | 8    |
      | an agent that joined as its home         | 8    |
      | its home gone in order                   | 8    |
      | its home dead                            | 8    |
      | a hint to its second while its home left | 8    |
      | both keepers restarted, one by one       | 3    |
      | both keepers crashed and back unnoticed  | 3    |

  Scenario Outline: A packet is delivered nowhere when <fault>
    Given a flow fleet of 7 agents with a flow
    When the flow meets <fault>
    And a flow packet is sent
    Then no flow packet is delivered
    And the flow packet ends with code <code>

    Examples:
      | fault                                | code |
      | its records pointing at each other   | 201  |
      | an agent of another service          | 707  |
      | its data centre taken out            | 201  |
      | its data centre taken out and back   | 201  |
      | a route of an unknown view           | 708  |

  Scenario Outline: Records of one holder order by incarnation and sequence
    Given a flow fleet of 7 agents with a flow
    When its home hears flow records <first> and then <second>
    Then its home keeps flow record <kept>

    Examples:
      | first | second | kept  |
      | 9.1   | 9.2    | 9.2   |
      | 9.2   | 9.1    | 9.2   |
      | 9.7   | 10.1   | 10.1  |
      | 10.1  | 9.7    | 10.1  |

  Scenario: A balancer is told of a flow at most once a second
    Given a flow fleet of 7 agents with a flow held away from its home
    When 10 flow packets are sent to its home within 1 second
    Then 1 flow hint is sent
    When 10 flow packets are sent to its home a second later
    Then 2 flow hints are sent

  Scenario: A hint to a data centre that is out is ignored
    Given a flow balancer whose view has hel-a out
    When a flow hint names a holder in hel-a
    Then the flow balancer steers to no agent in hel-a

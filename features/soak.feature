Feature: A short soak of real nodes

  Nodes run as processes of their own, and faults come from outside them; see
  `lab/soak`. Longer runs are started by hand.

  Scenario: The promises hold through a few seconds of faults
    When the soak runs seed 7 with 4 s of faults
    Then no promise was broken
    And it opened 100 flows or more

  Scenario Outline: What the soak checks, it finds
    Given a ledger of the soak
    When <what>
    Then the promise <promise> is noted as broken

    Examples:
      | what                                            | promise  |
      | a client's flow is reset that a target holds    | flow     |
      | a packet comes that nobody wrote                | bytes    |
      | an answer comes for another flow                | mixed    |
      | a flow is not opened though all is well         | recover  |
      | a SYN comes long after the target drains        | drain    |
      | a SYN comes long after the zone was evacuated   | evacuate |

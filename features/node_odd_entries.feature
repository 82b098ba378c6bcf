Feature: An odd entry of another writer neither ends a node nor hides the others

  Scenario Outline: The other agents of a list stay usable
    Given a list of agents in which one entry has <oddity>
    When a balancer reads the list and a client sends a SYN
    Then the SYN is sent to a usable agent

    Examples:
      | oddity                              |
      | a value nested 100000 deep          |
      | a number of 6000 digits             |
      | a revision of 30 digits             |
      | a negative revision                 |
      | an address that is no IP number     |
      | an IP number with a part of 999     |
      | an address with a port              |
      | a number for an address             |
      | an infinite number for an address   |
      | no content                          |

  Scenario Outline: A heartbeat with an odd value is refused
    Given a heartbeat whose <field> is <value>
    Then no heartbeat is read

    Examples:
      | field          | value                      |
      | warmup_left_ms | an integer of 400 digits   |
      | born           | an integer of 400 digits   |
      | born           | minus one                  |
      | sequence       | a value nested 100000 deep |
      | address        | a port of 70000            |
      | address        | a port of 6000 digits      |

  Scenario Outline: An answer of the store with an odd value is malformed, and no more
    When the store answers a list whose revision is <value>
    Then the answer counts as malformed

    Examples:
      | value                      |
      | an integer of 400 digits   |
      | minus one                  |
      | a value nested 100000 deep |

  Scenario: What a peer knows is left alone if a part of it is odd
    Given a balancer that asks a peer
    When the peer answers with a revision of 30 digits
    Then the answer is refused as beliefs that cannot be read

  Scenario: Any cut or changed octet of a list is read or refused
    Then 3000 changed lists are read or refused

Feature: Members discover each other and detect failures
  Scenario: All join through seeds while the platform is down
    Given the members 0 to 29 start with seeds only, seed 1
    When 15 seconds of gossip pass
    Then every member sees 30 members

  Scenario Outline: All members detect a dead member within 4 s
    Given <count> joined members on a network that loses <loss>, seed <seed>
    When member 7 stops responding
    And 4 seconds of gossip pass
    Then no member sees member 7
    And every member sees all other running members

    Examples:
      | count | loss | seed |
      | 20    | 0.0  | 2    |
      | 50    | 0.1  | 3    |

  Scenario: A member wrongly declared dead refutes it and returns to all views
    Given 20 joined members on a network that loses 0.0, seed 4
    When member 7 stops responding
    And 6 seconds of gossip pass
    And member 7 resumes
    And 2 seconds of gossip pass
    Then every member sees 20 members
    And member 7 has a higher revision than before

  Scenario: A member that resumes after a pause declares nobody dead
    Given 20 joined members on a network that loses 0.0, seed 5
    When member 7 stops responding
    And 60 seconds of gossip pass
    And member 3 restarts as incarnation 2
    And 5 seconds of gossip pass
    And member 7 resumes
    And 5 seconds of gossip pass
    Then every member sees 20 members
    And every member has incarnation 2 of member 3

  Scenario: A graceful leave is seen within 1 s
    Given 20 joined members on a network that loses 0.0, seed 6
    When member 7 leaves gracefully
    And 1 second of gossip passes
    Then no member sees member 7

  Scenario: Of two processes with one name, the later one wins
    Given 20 joined members on a network that loses 0.0, seed 7
    When a second process of member 7 starts elsewhere as incarnation 9
    And 8 seconds of gossip pass
    Then the earlier process of member 7 is superseded
    And every member has incarnation 9 of member 7

  Scenario: A process restarts after its clock was set back
    Given 20 joined members on a network that loses 0.0, seed 8
    When member 7 restarts as incarnation 0
    And 8 seconds of gossip pass
    Then every member has incarnation 2 of member 7

  Scenario: A rack whose members fail at once is removed
    Given 60 joined members on a network that loses 0.0, seed 9
    When the members 8 to 13 stop responding
    And 6 seconds of gossip pass
    Then every member sees 54 members

  Scenario: An unreachable data centre is held as suspects, then removed
    Given 60 joined members on a network that loses 0.0, seed 10
    When data centre dc-1 stops responding
    And 8 seconds of gossip pass
    Then every member still sees at least 8 of dc-1, all marked as suspects
    When 80 seconds of gossip pass
    Then every member sees 45 members

  Scenario: Regions are partitioned for 5 minutes and then merge again
    Given 40 joined members on a network that loses 0.0, seed 11
    When the regions are partitioned
    And 300 seconds of gossip pass
    Then every member sees all of its own region
    When the partition of the regions heals
    And 60 seconds of gossip pass
    Then every member sees 40 members
    And no member is marked as a suspect

  Scenario: A view built by changes equals one built from scratch
    Given 400 random changes of members and data centres out, seed 12
    When each change is applied to the previous view
    Then every view equals one built from scratch
    And earlier views are unchanged

  Scenario: A mass restart stays within bounds
    Given the members 0 to 59 start with seeds only, encoded, seed 13
    When 25 seconds of gossip pass
    Then every member sees 60 members
    And no datagram was larger than 1400 bytes
    And no updates are queued any more

  Scenario Outline: Merging records from the roster
    Given a single core that knows member 1
    When <record> is merged from the roster twice
    Then the core has <state> at incarnation <incarnation> for member 1

    Examples:
      | record               | state    | incarnation |
      | the same record      | SERVING  | 1           |
      | a higher revision    | DRAINING | 1           |
      | an older incarnation | SERVING  | 1           |
      | a newer incarnation  | SERVING  | 2           |
      | a dead record        | SERVING  | 1           |

  Scenario: Late gossip does not revive a dead member
    Given a single core that knows member 1
    When gossip carries a dead record
    And gossip carries the same record
    And the same record is merged from the roster twice
    Then the core does not see member 1
    When gossip carries the same record after 1000 seconds
    Then the core has 0 tombstones

  Scenario: The first tick announces a state that changed before it
    Given a core without a tick yet that knows member 1
    When its state changes to DRAINING and it ticks at second 1000
    Then it sends its state DRAINING to member 1
    And its dissemination rate is bounded

  Scenario: An isolated member suspects nobody
    Given 20 joined members on a network that loses 0.0, seed 14
    When member 7 is isolated
    And 60 seconds of gossip pass
    Then member 7 still sees 20 members

  Scenario: A process that was paused during a probe starts the probe over
    Given a single core that knows member 1
    And member 1 has not answered for 1.4 seconds
    When the core pauses until second 60 and resumes
    Then the core still sees member 1, and has announced itself again

  Scenario Outline: A replayed ack does not keep a dead member alive
    Given a single core that knows member 1
    When member 1 acks <pings> for 6 seconds
    Then the core <outcome> member 1

    Examples:
      | pings                           | outcome      |
      | every ping                      | still sees   |
      | only the first ping, repeatedly | does not see |
      | no ping                         | does not see |

  Scenario Outline: A process refutes wrong claims about itself
    Given a single core that knows member 1
    When gossip tells the core that it is <claimed> at revision <revision>
    Then the core announces itself as SERVING at revision <answered>

    Examples:
      | claimed   | revision | answered |
      | dead      | 0        | 1        |
      | dead      | 1        | 2        |
      | dead      | 7        | 8        |
      | suspected | 0        | 1        |
      | suspected | 1        | 2        |
      | draining  | 1        | 2        |

  Scenario Outline: The largest messages fit into one datagram
    Given a full <kind> of members with long names
    Then its signed datagram has more than 700 and at most 1400 bytes

    Examples:
      | kind    |
      | Ping    |
      | Ack     |
      | Gossip  |
      | Digest  |
      | Listing |
      | Records |

  Scenario Outline: Invalid and stale messages are counted and change nothing
    Given a single core that knows member 1
    When the core receives <message>
    Then the view of the core is unchanged and <code> was counted

    Examples:
      | message                          | code                |
      | a ping meant for another process | MESSAGE_MISDIRECTED |
      | an ack that was not awaited      | MESSAGE_STALE       |
      | gossip from an old incarnation   | MESSAGE_STALE       |
      | a malformed digest               | MESSAGE_MALFORMED   |

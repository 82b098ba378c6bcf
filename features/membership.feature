Feature: Members find each other, and lose each other rightly
  Scenario: All join through seeds while the platform is down
    Given the members 0 to 29 start with seeds only, seed 1
    When 15 seconds of gossip pass
    Then every member sees 30 members

  Scenario Outline: A dead member is noticed by all within 4 s
    Given <count> joined members on a network that loses <loss>, seed <seed>
    When member 7 stops without a word
    And 4 seconds of gossip pass
    Then no member sees member 7
    And every member sees all other running members

    Examples:
      | count | loss | seed |
      | 20    | 0.0  | 2    |
      | 50    | 0.1  | 3    |

  Scenario: A wrongly declared member refutes and comes back everywhere
    Given 20 joined members on a network that loses 0.0, seed 4
    When member 7 stops without a word
    And 6 seconds of gossip pass
    And member 7 resumes
    And 2 seconds of gossip pass
    Then every member sees 20 members
    And member 7 has a higher revision than before

  Scenario: A paused member that wakes declares nobody dead
    Given 20 joined members on a network that loses 0.0, seed 5
    When member 7 stops without a word
    And 60 seconds of gossip pass
    And member 3 restarts as incarnation 2
    And 5 seconds of gossip pass
    And member 7 resumes
    And 5 seconds of gossip pass
    Then every member sees 20 members
    And every member has incarnation 2 of member 3

  Scenario: A planned leave is seen at once
    Given 20 joined members on a network that loses 0.0, seed 6
    When member 7 leaves in order
    And 1 second of gossip passes
    Then no member sees member 7

  Scenario: Two processes of one name, and the later one wins
    Given 20 joined members on a network that loses 0.0, seed 7
    When a second process of member 7 starts elsewhere as incarnation 9
    And 8 seconds of gossip pass
    Then the former process of member 7 is superseded
    And every member has incarnation 9 of member 7

  Scenario: A process restarts with a clock set back
    Given 20 joined members on a network that loses 0.0, seed 8
    When member 7 restarts as incarnation 0
    And 8 seconds of gossip pass
    Then every member has incarnation 2 of member 7

  Scenario: A rack lost at once is removed
    Given 60 joined members on a network that loses 0.0, seed 9
    When the members 8 to 13 stop without a word
    And 6 seconds of gossip pass
    Then every member sees 54 members

  Scenario: A data centre that falls silent is kept and marked, then removed
    Given 60 joined members on a network that loses 0.0, seed 10
    When data centre dc-1 falls silent
    And 8 seconds of gossip pass
    Then every member still sees at least 8 of dc-1, all marked
    When 80 seconds of gossip pass
    Then every member sees 45 members

  Scenario: Regions lose each other for 5 minutes and come together again
    Given 40 joined members on a network that loses 0.0, seed 11
    When the regions are cut from each other
    And 300 seconds of gossip pass
    Then every member sees all of its own region
    When the regions are joined again
    And 60 seconds of gossip pass
    Then every member sees 40 members
    And no member is marked anywhere

  Scenario: A view reached by changes equals one built at once
    Given 400 random changes of members and data centres out, seed 12
    When each change makes the next view
    Then every view answers like one built at once
    And former views still answer as they did

  Scenario: A mass restart stays within bounds
    Given the members 0 to 59 start with seeds only, encoded, seed 13
    When 25 seconds of gossip pass
    Then every member sees 60 members
    And no datagram was larger than 1400 bytes
    And no news is passed on any more

  Scenario Outline: Records merged from the roster
    Given a lone core that knows member 1
    When the roster brings <record>, twice
    Then the core has <state> at incarnation <incarnation> for member 1

    Examples:
      | record               | state    | incarnation |
      | the same record      | SERVING  | 1           |
      | a higher revision    | DRAINING | 1           |
      | an older incarnation | SERVING  | 1           |
      | a newer incarnation  | SERVING  | 2           |
      | a dead record        | SERVING  | 1           |

  Scenario: Late gossip does not revive a dead member
    Given a lone core that knows member 1
    When gossip claims a dead record
    And gossip claims the same record
    And the roster brings the same record, twice
    Then the core does not see member 1
    When gossip claims the same record after 1000 seconds
    Then the core keeps 0 tombstones

  Scenario Outline: Messages that must change nothing
    Given a lone core that knows member 1
    When it receives <message>
    Then its view is unchanged and <code> was counted

    Examples:
      | message                               | code                |
      | a ping meant for another process      | MESSAGE_MISDIRECTED |
      | an answer that nobody asked for       | MESSAGE_STALE       |
      | gossip from an old incarnation        | MESSAGE_STALE       |
      | a digest of another form              | MESSAGE_MALFORMED   |

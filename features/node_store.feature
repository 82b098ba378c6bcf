Feature: A node keeps a copy of objects in the platform's store

  Scenario: A list in pages, then a watch from its revision
    Given a watcher of agents
    Then it requests a list
    When a page with a, b arrives, as of 38, with more to come
    Then it requests a list after b
    When the last page arrives with c, as of 40
    Then the objects are a, b, c
    And it requests a watch from 38

  Scenario: Watch events update the objects
    Given a watcher that listed a, b, as of 40
    When the watch reports that c was added and a removed, as of 43
    Then the objects are b, c
    And it requests a watch from 43 after the batch delay

  Scenario: The objects are listed again when the store has dropped its history
    Given a watcher that listed a, b, as of 40
    When the watch ends with the result history gone
    Then it requests a list
    When the last page arrives with b, as of 90
    Then the objects are b

  Scenario Outline: A failed watch keeps the objects and is retried after a backoff
    Given a watcher that listed a, b, as of 40
    When the watch ends with the result <result>
    Then the objects are a, b
    And it requests a watch from 40 after 0.05 s to 0.3 s

    Examples:
      | result    |
      | busy      |
      | lost      |
      | malformed |

  Scenario: During an outage a watcher retries about once or twice per second
    Given a watcher that listed a, b, as of 40
    When every call fails for 20 s
    Then it made 20 to 45 calls

  Scenario: During an outage one idle source at a time starts a call
    Given a store link with a running watch and two idle sources
    When the store becomes unreachable
    Then the sources that may start a call are first, second
    And only one of them may run a call at a time

  Scenario: An entry is created
    Given a desired agent entry
    Then it requests to create the entry
    When the store confirms
    Then it makes no call

  Scenario: An entry that is already right costs one call
    Given a desired agent entry
    When the create conflicts with the same content
    Then it makes no call

  Scenario: A wrong entry is replaced on condition of its revision
    Given a desired agent entry
    When the create conflicts with other content at revision 7
    Then it requests to replace revision 7

  Scenario: A write without a response is repeated safely
    Given a desired agent entry
    When the response is lost
    Then it requests to create the entry after a pause
    When the create conflicts with the same content
    Then it makes no call

  Scenario: An entry that changes while it is written is written again
    Given a desired agent entry
    When the service changes before the store confirms
    Then it requests to replace revision 5

  Scenario Outline: Malformed entries are ignored
    Given a store with an entry <entry>
    When a balancer applies the entries
    Then it knows 1 agent

    Examples:
      | entry                                            |
      | null                                             |
      | []                                               |
      | "text"                                           |
      | {}                                               |
      | {"ip": 7, "data_centre": "a", "service": "b"}    |
      | {"ip": "10.1.0.9", "data_centre": "a"}           |

  Scenario: A malformed manifest has no effect
    Given a balancer with manifest 4
    When the store delivers a manifest without routes
    Then manifest 4 is in force

  Scenario: A manifest of an older revision has no effect
    Given a balancer with manifest 4
    When the store delivers manifest 3 of an older revision
    Then manifest 4 is in force

  # Guards against evacuations that are undone by the answer to an older call,
  # or by an older copy of a peer after the store dropped its history.
  Scenario Outline: A copy never goes back, however calls and peers' copies cross
    Given 300 random runs of a watcher, with pages of <page_items> objects
    Then no copy goes back, and each ends as the store is

    Examples:
      | page_items |
      | 3          |
      | 1          |

  Scenario: A peer's older copy is not adopted while the objects are listed again
    Given a watcher that listed a, b, as of 40
    When the watch ends with the result history gone
    And a peer offers a copy with a, as of 39
    Then the objects are a, b

  # Guards against a reset of a flow that an agent holds which this balancer does
  # not know yet: only a list of agents shows which ones exist.
  Scenario Outline: Only a list of agents proves that a flow has no holder
    Given a balancer that waits for the list of agents to prove a flow lost
    When a list of <kind> arrives
    Then the flow is <outcome>

    Examples:
      | kind              | outcome         |
      | config            | not decided yet |
      | evacuations       | not decided yet |
      | cumindrift-agents | decided         |

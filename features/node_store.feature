Feature: A node follows the platform's store

  Scenario: A list in pages, then a watch from its revision
    Given a watcher of agents
    Then it asks for a list
    When the answer holds a, b and says that there is more
    Then it asks for a list after b
    When the answer holds c, as of 40
    Then the objects are a, b, c
    And it asks to watch from 40

  Scenario: Events of a watch change the objects
    Given a watcher that listed a, b, as of 40
    When the watch tells c, and that a is removed, as of 43
    Then the objects are b, c
    And it asks to watch from 43, but not before the pause to gather

  Scenario: History that is gone makes a new list
    Given a watcher that listed a, b, as of 40
    When the watch ends with history gone
    Then it asks for a list
    When the answer holds b, as of 90
    Then the objects are b

  Scenario Outline: A store that fails keeps what is in force and is not asked at once
    Given a watcher that listed a, b, as of 40
    When the watch ends with <end>
    Then the objects are a, b
    And it asks to watch from 40 after 0.05 s to 0.3 s

    Examples:
      | end       |
      | busy      |
      | lost      |
      | malformed |

  Scenario: An outage is probed once a second at most
    Given a watcher that listed a, b, as of 40
    When every call fails for 20 s
    Then it asked 20 to 45 times

  Scenario: During an outage one source asks, and not one that waits
    Given a link with a waiting watch and two sources without a call
    When the store is lost
    Then the sources that may ask are first, second
    And one of them asks at a time

  Scenario: An entry is created
    Given an agent's entry that is wanted
    Then it asks to create the entry
    When the store answers done
    Then it asks for nothing

  Scenario: An entry that is right already costs one call
    Given an agent's entry that is wanted
    When the create meets the same content
    Then it asks for nothing

  Scenario: An entry that is wrong is replaced under its revision
    Given an agent's entry that is wanted
    When the create meets other content of revision 7
    Then it asks to replace revision 7

  Scenario: A write whose answer is lost is repeated and does no harm
    Given an agent's entry that is wanted
    When the answer is lost
    Then it asks to create the entry after a pause
    When the create meets the same content
    Then it asks for nothing

  Scenario: An entry that changes while it is written is written again
    Given an agent's entry that is wanted
    When the service changes before the store answers done
    Then it asks to replace revision 5

  Scenario Outline: Entries of other writers name no agent
    Given a store with an entry <entry>
    When a balancer takes the entries
    Then it knows 1 agent

    Examples:
      | entry                                            |
      | null                                             |
      | []                                               |
      | "text"                                           |
      | {}                                               |
      | {"ip": 7, "data_centre": "a", "service": "b"}    |
      | {"ip": "10.1.0.9", "data_centre": "a"}           |

  Scenario: A balancer that starts while the store is lost takes what a peer knows
    Given a balancer with manifest 4, and one that has read nothing
    And the store does not answer the second
    Then the second asks peers
    When the second takes what the first knows
    Then manifest 4 is in force
    And the second follows on from the revision of the first
    And it does not ask peers

  Scenario: What a peer knows is not taken when it is older
    Given a balancer with manifest 4, and one that has read nothing
    When the second has read a later revision
    And the second takes what the first knows
    Then nothing was taken

  Scenario: A manifest that cannot be read changes nothing
    Given a balancer with manifest 4
    When the store shows a manifest without routes
    Then manifest 4 is in force

  Scenario: A manifest of an older revision changes nothing
    Given a balancer with manifest 4
    When the store shows manifest 3 of an older revision
    Then manifest 4 is in force

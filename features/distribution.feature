Feature: Accepted settings reach every process and never revert
  Scenario Outline: Messages are lost, duplicated and delayed
    Given a fleet of 40 that loses <loss>% and duplicates <duplicated>% of messages
    When the fleet's settings are written 5 times, 8 s apart
    Then the whole fleet runs version 5
    And no process of the fleet applied a version out of order

    Examples:
      | loss | duplicated |
      | 0    | 0          |
      | 10   | 50         |
      | 40   | 30         |

  Scenario Outline: A snapshot that replaces an older one is complete
    Given a snapshot store of the fleet with version 1
    When the store applies a packed version 2 that <change>
    Then the tree of the store is the packed one

    Examples:
      | change                  |
      | changes nothing         |
      | changes a service       |
      | adds a service          |
      | removes a service       |
      | moves a service         |
      | adds a team             |
      | empties a team          |
      | removes a team          |
      | takes out a data centre |

  Scenario: A snapshot of many chunks arrives despite lost messages
    Given a fleet of 20 that loses 30% and duplicates 10% of messages
    When settings of 3000 services are written to the fleet
    And the fleet runs for 20 s
    Then the snapshot of the fleet has more than 5 chunks
    And the whole fleet runs version 1 with one digest

  Scenario Outline: Old and invalid snapshots change nothing
    Given a fleet of 4 that loses 0% and duplicates 0% of messages
    And the fleet has run for 10 s with version 3
    When a process of the fleet receives <chunk>
    Then that process still runs version 3
    When the fleet's settings are written 1 times, 8 s apart
    Then the whole fleet runs version 4

    Examples:
      | chunk                            |
      | version 1, arriving late         |
      | version 4 with a wrong digest    |
      | version 4 that is no settings    |
      | version 4 that is not compressed |
      | version 4 with no chunks         |
      | version 4 in too many chunks     |

  Scenario: A process joins while the platform is down for an hour
    Given a fleet of 16 that loses 10% and duplicates 0% of messages
    And the fleet has run for 10 s with version 3
    When the platform fault of the fleet is down
    And the fleet runs for 1800 s
    And a process joins the fleet
    And the fleet runs for 1800 s
    Then the whole fleet runs version 3
    When the platform fault of the fleet is none
    And the fleet's settings are written 1 times, 30 s apart
    Then the whole fleet runs version 4

  Scenario Outline: The platform fails right after a write
    Given a fleet of 16 that loses 10% and duplicates 0% of messages
    And the fleet has run for 10 s with version 3
    When a process of the fleet stores and publishes version 4
    And the platform fault of the fleet is <fault>
    And the fleet runs for 6 s
    Then the whole fleet runs version 4
    And the publication in the fleet was confirmed

    Examples:
      | fault  |
      | down   |
      | stuck  |
      | losing |

  Scenario: A writer is paused between its write and the replication
    Given a fleet of 16 that loses 10% and duplicates 0% of messages
    And the fleet has run for 10 s with version 3
    When the writer of the fleet is paused after it stored version 4
    And the fleet's settings are written 1 times, 8 s apart
    And the paused writer of the fleet resumes and publishes version 4
    And the fleet runs for 5 s
    Then the whole fleet runs version 5
    And no process of the fleet applied a version out of order

  Scenario: A version that no peer confirms is reported as unconfirmed
    Given a fleet of 8 that loses 100% and duplicates 0% of messages
    When a process of the fleet stores and publishes version 1
    And the fleet runs for 3 s
    Then the publication in the fleet was not confirmed

  Scenario: Half of the fleet is partitioned from the rest for five minutes
    Given a fleet of 24 that loses 10% and duplicates 0% of messages
    And the fleet has run for 10 s with version 3
    When half of the fleet is partitioned from the rest
    And the fleet's settings are written 2 times, 150 s apart
    Then the fleet runs the versions 3 and 5
    When the partition of the fleet heals
    And the fleet runs for 20 s
    Then the whole fleet runs version 5
    And no process of the fleet applied a version out of order

  Scenario: Feeders fail one after another
    Given a fleet of 24 that loses 10% and duplicates 0% of messages
    And the fleet has run for 10 s with version 1
    When 12 feeders of the fleet fail one by one, with a write after each
    Then the whole fleet runs version 13

  Scenario: A survey finds a process with an old version
    Given a fleet of 30 that loses 0% and duplicates 0% of messages
    And the fleet has run for 10 s with version 2
    When one process of the fleet is paused
    And the fleet's settings are written 1 times, 8 s apart
    And a process of the fleet makes a survey
    And the fleet runs for 2 s
    Then the survey of the fleet shows version 3 at all but the paused process

  Scenario Outline: Random faults lose no accepted settings
    Given a fault run of the fleet with seed <seed>
    When the fault run takes 60 steps and all faults end
    Then the fault run accepted settings, and they are in force everywhere

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |

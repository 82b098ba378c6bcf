Feature: The stand-in for the users' store

  The soak and the tests rely on it, so it must behave as the users' pages say.

  Scenario: POST creates only new objects, PUT replaces only the known revision
    Given a store stand-in
    When POST side-1 is called with content one
    Then it answers 200 with content one at revision 2
    When POST side-1 is called with content two
    Then it answers 409 with content one at revision 2
    When PUT side-1 is called with content two, known at 1
    Then it answers 409 with content one at revision 2
    When PUT side-1 is called with content two, known at 2
    Then it answers 200 with content two at revision 3
    When PUT side-1 is called with content two, known at 3
    Then it answers 200 with content two at revision 3
    When PUT side-2 is called with content one, known at 0
    Then it answers 404

  Scenario: A watch reports missed changes at once, otherwise the next change
    Given a store stand-in
    When POST side-1 is called with content one
    And a watch from 1 is called
    Then it answers 200 with the changes side-1
    When a watch from 2 is called
    Then the watch is not answered
    When POST side-2 is called with content one
    Then the watch is answered with the changes side-2

  Scenario: A watch without changes times out
    Given a store stand-in
    When a watch from 1 is called
    And 26 s pass at the store
    Then the watch is answered with the changes none

  Scenario: A watch that does not wait is answered at once
    Given a store stand-in
    When POST side-1 is called with content one
    And the changes after 2 are asked for
    Then it answers 200 with the changes none
    When 10 s pass at the store
    And POST side-2 is called with content one
    And the changes after 2 are asked for
    Then it answers 200 with the changes side-2

  Scenario: Changes that may be stale end at an earlier revision
    Given a store stand-in
    When POST side-1 is called with content one
    And 10 s pass at the store
    And POST side-2 is called with content one
    And lists that may be stale are 6 s old
    And the changes after 1 are asked for and may be stale
    Then it answers 200 with the changes side-1
    And the store answers as of 2

  Scenario: A watch from a compacted revision gets 410
    Given a store stand-in
    When POST side-1 is called with content one
    And the store compacts its history
    And a watch from 1 is called
    Then it answers 410

  Scenario: Changes made while the store is down are reported afterwards
    Given a store stand-in
    When a watch from 1 is called
    And the store is down
    And POST side-1 is written by an operator
    Then the watch is not answered
    When the store is well
    Then the watch is answered with the changes side-1

  Scenario: A busy store does not execute calls
    Given a store stand-in
    When the store is busy
    And POST side-1 is called with content one
    Then it answers 429 or 503
    And the store has 0 objects

  Scenario: A lossy store executes the writes that it does not answer
    Given a store stand-in
    When the store is lossy
    And 20 objects are created
    And 5 s pass at the store
    Then the store has 20 objects
    And fewer than 20 calls were answered

  Scenario: Lists that may be stale are as old as they are set to be
    Given a store stand-in
    When POST side-1 is called with content one
    And 4 s pass at the store
    And POST side-2 is called with content one
    And lists that may be stale are 3 s old
    And a list that may be stale is called
    Then it answers 200 with the objects side-1 as of 2
    When a list that is not stale is called
    Then it answers 200 with the objects side-1, side-2 as of 3
    When 3 s pass at the store
    And a list that may be stale is called
    Then it answers 200 with the objects side-1, side-2 as of 3

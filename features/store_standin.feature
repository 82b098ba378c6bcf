Feature: The stand-in for the users' store

  The soak and tests lean on it, so it keeps to the users' pages.

  Scenario: Creating is for what is not there, replacing for what is as known
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

  Scenario: A watch answers at once with what it missed, else with the next change
    Given a store stand-in
    When POST side-1 is called with content one
    And a watch from 1 is called
    Then it answers 200 with the changes side-1
    When a watch from 2 is called
    Then it waits
    When POST side-2 is called with content one
    Then the watch is answered with the changes side-2

  Scenario: A watch that hears nothing ends in time
    Given a store stand-in
    When a watch from 1 is called
    And 26 s go by at the store
    Then the watch is answered with the changes none

  Scenario: History that is forgotten is gone
    Given a store stand-in
    When POST side-1 is called with content one
    And the store forgets its history
    And a watch from 1 is called
    Then it answers 410

  Scenario: A store that was down tells of changes once it is well
    Given a store stand-in
    When a watch from 1 is called
    And the store is down
    And POST side-1 is written by an operator
    Then it waits
    When the store is well
    Then the watch is answered with the changes side-1

  Scenario: A busy store has done nothing
    Given a store stand-in
    When the store is busy
    And POST side-1 is called with content one
    Then it answers 429 or 503
    And the store has 0 objects

  Scenario: A lossy store has done what it did not answer
    Given a store stand-in
    When the store is lossy
    And 20 objects are created
    And 5 s go by at the store
    Then the store has 20 objects
    And fewer than 20 calls were answered

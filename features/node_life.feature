Feature: The life of a node

  Scenario: Changed bounds are in force after a reload
    Given an agent's process with its settings file
    When the file says that addresses are free after 5 s
    And the file is read again
    Then the bound of the target's state is 5 s
    And the log says settings-reloaded

  Scenario: A settings file that cannot be used changes nothing
    Given an agent's process with its settings file
    When the file is half written
    And the file is read again
    Then the bound of the target's state is 2 s
    And the log says settings-refused

  Scenario: An agent whose target has left takes its entry and its record back
    Given an agent's process with its settings file
    And its entry and its record are in the store
    When the target leaves and the process is asked to stop
    Then the process waits for the store
    And it asks to remove the entry and the record
    When the store has removed both
    Then the process may end

  Scenario: An agent that only starts again keeps its entry
    Given an agent's process with its settings file
    And its entry and its record are in the store
    When the process is asked to stop
    Then the process may end
    And it asks the store for nothing

  Scenario: A balancer serves on until the routers have let go
    Given a balancer's process
    When the process is asked to stop
    Then its readiness answers 503
    And the process may end after 1.5 s to 2 s

  Scenario: A reader that stopped loses lines, counted, and nothing waits
    Given a log whose reader has stopped
    When 20000 events are noted in 1 s
    Then at most 4096 lines wait
    And writing them took no attempt that blocks
    When the reader reads again
    Then a line tells how many were dropped

  Scenario: The rate of lines is bounded
    Given a log whose reader reads everything
    When 20000 events are noted in 1 s
    Then at most 1300 lines were written

Feature: The life cycle of a node

  Scenario: Changed bounds are applied by a reload
    Given an agent's process with its settings file
    When the file sets the address reuse time to 5 s
    And the file is read again
    Then the address reuse time in force is 5 s
    And the log says settings-reloaded

  Scenario: An invalid settings file changes nothing
    Given an agent's process with its settings file
    When the file is half written
    And the file is read again
    Then the address reuse time in force is 2 s
    And the log says settings-refused

  Scenario: An agent whose target ends removes its entry and its record
    Given an agent's process with its settings file
    And its entry and its record are in the store
    When the target announces its end and the process is asked to stop
    Then the process waits for the store
    And it asks to remove the entry and the record
    When the store has removed both
    Then the process may end

  Scenario: An agent that only restarts keeps its entry
    Given an agent's process with its settings file
    And its entry and its record are in the store
    When the process is asked to stop
    Then the process may end
    And it asks the store for nothing

  Scenario: A balancer keeps serving until the routers have noticed that it stops
    Given a balancer's process
    When the process is asked to stop
    Then its readiness answers 503
    And the process may end after 1.5 s to 2 s

  Scenario: A stalled log reader loses counted lines and blocks nothing
    Given a log whose reader has stopped
    When 20000 events are logged in 1 s
    Then at most 4096 lines wait
    And no write blocked, and lines were dropped
    When the reader reads again
    Then a line says how many were dropped

  # Guards against logs that have lost more lines than they say.
  Scenario: A log whose reader has closed its end counts each line that is lost
    Given a log whose reader has closed its end
    When 20 events are logged in 1 s
    And the reader reads again
    And 1 event is logged in 1 s
    Then each of the 21 events was written or counted as dropped

  Scenario: The rate of log lines is limited
    Given a log whose lines are read at once
    When 20000 events are logged in 1 s
    Then at most 1300 lines were written

  # Guards against an overload whose log lines hide what else happens.
  Scenario: A storm of one event leaves room for others, and is counted by reason
    Given a log whose lines are read at once
    When 20000 SYNs are refused as full within 1 s, and 8 agents fall silent meanwhile
    Then 8 lines say that an agent fell silent
    And the lines left out are counted as "open-refused: full"

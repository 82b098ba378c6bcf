Feature: A node as a process of its own

  Scenario: An agent serves its pages and stops in order
    Given an agent's process on loopback
    Then its page /metrics shows cumindrift_flow_decisions
    And it acknowledges a heartbeat of its target
    And it refuses a heartbeat that cannot be read with 400
    When a SYN comes from a balancer
    Then the target gets the SYN, and the balancer hears that it is held
    When the process is told to stop
    Then it ends with exit code 0 within 3 s
    And its log holds node-started, target-beat, flow-opened, node-stopping, node-stopped

  Scenario: A node whose settings file cannot be used says so
    When a node is started with a file that is half written
    Then it ends with exit code 2 within 3 s

  Scenario: A node that was started from its bundle serves as any other
    Given an agent's process that was started from its bundle
    Then its page /metrics shows cumindrift_flow_decisions
    And it holds its bundle open
    And it acknowledges a heartbeat of its target
    When the process is told to stop
    Then it ends with exit code 0 within 3 s
    And its log holds node-started, target-beat, node-stopping, node-stopped

  Scenario: A hang-up while a node still loads does not end it
    When a process that loads a node gets a hang-up
    Then it goes on

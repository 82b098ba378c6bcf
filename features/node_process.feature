Feature: A node runs as a process

  Scenario: An agent serves metrics, heartbeats and packets, and stops gracefully
    Given an agent's process on loopback
    Then GET /metrics returns a text with cumindrift_flow_decisions
    And it acknowledges a heartbeat of its target
    And it rejects a malformed heartbeat with status 400
    When a SYN comes from a balancer
    Then the target receives the SYN, and the agent reports to the balancer that it holds the flow
    When the process receives SIGTERM
    Then it ends with exit code 0 within 3 s
    And its log holds node-started, target-beat, flow-opened, node-stopping, node-stopped

  Scenario: A node exits with code 2 if its settings file is malformed
    When a node is started with a truncated settings file
    Then it ends with exit code 2 within 3 s

  Scenario: A node that is started from its bundle serves like any other
    Given an agent's process started from its bundle
    Then GET /metrics returns a text with cumindrift_flow_decisions
    And it has its bundle open
    And it acknowledges a heartbeat of its target
    When the process receives SIGTERM
    Then it ends with exit code 0 within 3 s
    And its log holds node-started, target-beat, node-stopping, node-stopped

  Scenario: A SIGHUP during the start of a node does not end it
    When a process that is importing a node receives SIGHUP
    Then it continues

  # Guards against nodes that end since they read half of a new bundle.
  Scenario: A bundle that is built again does not change under its readers
    Given a bundle that a starting node has opened
    When the bundle is built again
    Then the node reads the bundle that it has opened

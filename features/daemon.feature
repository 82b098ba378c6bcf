Feature: Starting the daemon
  Scenario Outline: Settings that a process cannot start with
    Given a daemon whose settings have <fault>
    When it is started
    Then it ends at once with exit code <exit>

    Examples:
      | fault                     | exit |
      | an unknown role           | 2    |
      | an agent without target   | 2    |
      | a balancer without fabric | 2    |
      | a peer port in use        | 3    |

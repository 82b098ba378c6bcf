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

  Scenario: A process whose name another process took stops in order
    Given a process that runs as balancer-1
    When it hears of a later balancer-1 at another address
    Then it has asked for a stop in order once

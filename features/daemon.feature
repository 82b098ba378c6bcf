Feature: Start and stop of the daemon
  Scenario Outline: The daemon exits if it cannot start with its settings
    Given a daemon whose settings have <fault>
    When it is started
    Then it exits at once with code <exit>

    Examples:
      | fault                     | exit |
      | an unknown role           | 2    |
      | an agent without target   | 2    |
      | a balancer without fabric | 2    |
      | a peer port in use        | 3    |

  Scenario: A process stops when a later process uses its name
    Given a process that runs as balancer-1
    When it receives the record of a later balancer-1 at another address
    Then it has requested a graceful stop once

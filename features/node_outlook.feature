Feature: A balancer refuses early what it cannot serve in time

  # Guards against SYNs that wait for a second under overload although newer
  # and more urgent ones are always served before them.
  Scenario: Under overload a SYN is refused within a quarter of its latency
    Given a busy balancer that judges targets
    When 3 SYNs come for each one that finds room, for 0.9 s
    Then 0 clients have been reset
    When 3 SYNs come for each one that finds room, for 3 s
    Then the clients that were reset in the last second had waited from 0.08 to 0.1 s
    And none was reset early in the first 2 s
    And queue-overloaded has been logged

  Scenario: Without the contract, SYNs wait as long as their route allows
    Given a busy balancer that trusts targets
    When 3 SYNs come for each one that finds room, for 0.9 s
    Then 0 clients have been reset

  # Guards against refusals during a restart of all targets, which is over
  # before the clients' retries would be.
  Scenario: While nothing finds room, SYNs are held
    Given a busy balancer that judges targets
    When 1 SYNs come for each one that finds room, for 1 s
    And no target takes anything for 0.8 s
    Then 0 clients have been reset

  Scenario: Urgent SYNs are held while only the usual ones are too many
    Given a busy balancer that judges targets
    When an urgent SYN waits while 3 SYNs come for each one that finds room, for 0.5 s
    Then the urgent client has not been reset

  Scenario: The overload ends with its cause
    Given a busy balancer that judges targets
    When 3 SYNs come for each one that finds room, for 3 s
    And 1 SYNs come for each one that finds room, for 3 s
    Then queue-relieved has been logged

  # Guards against urgent SYNs that queue behind usual ones.
  Scenario: An urgent SYN is sent at once while only usual ones wait
    Given a busy balancer that judges targets
    When 5 usual SYNs wait
    And an urgent SYN comes
    Then it is sent at once

  # Guards against refusals in a surge after which the SYNs could be served:
  # refused clients retry, so refusals would raise the rate that causes them.
  Scenario: In a small surge, SYNs are held
    Given a busy balancer that judges targets
    When 3 SYNs come for each 2 that find room, for 0.9 s
    Then 0 clients have been reset

Feature: A client that sends far more SYNs than the others is served after them

  # Guards against a client that takes all room since it has the newest SYN.
  Scenario: One client sends ten times as much as each of 50 others
    Given a balancer that judges targets
    When clients 1 to 50 send 1 SYNs each
    And clients 99 to 99 send 10 SYNs each
    And clients 1 to 50 send 1 SYNs each
    And clients 99 to 99 send 10 SYNs each
    Then 14 SYNs are marked, and they are of client 99
    When time goes by until the balancer tries again
    Then a SYN of client 50 is tried

  # Guards against charging a client for another one.
  Scenario: Two clients share a bucket
    Given a balancer that judges targets
    When clients 1 to 50 send 1 SYNs each
    And clients 99 to 99 send 10 SYNs each
    And a client in the same bucket of row 0 as client 99 sends a SYN
    And a client in the same bucket of row 1 as client 99 sends a SYN
    Then 4 SYNs are marked, and they are of client 99

  # Guards against a client that is served last for good.
  Scenario: A client that has stopped is served like the others
    Given a balancer that judges targets
    When clients 99 to 99 send 10 SYNs each
    And 6 s go by at the balancer
    And clients 1 to 50 send 1 SYNs each
    And clients 99 to 99 send 2 SYNs each
    Then 0 SYNs are marked, and they are of client 99

  # Guards against counting copies of a SYN, and retries in place of a load.
  Scenario: An ordinary client retries, and sends each SYN three times
    Given a balancer that judges targets
    When clients 1 to 50 send 1 SYNs each
    And clients 7 to 7 send 5 SYNs each in 3 copies
    Then 0 SYNs are marked, and they are of client 7

  # Guards against marking all clients, or none, where few are active. The 80th
  # SYN is marked: the estimated number of clients is a little above the true one.
  Scenario Outline: Few clients are active
    Given a balancer that judges targets
    When clients 1 to <equal> send 20 SYNs each
    And clients 99 to 99 send <more> SYNs each
    Then <marked> SYNs are marked, and they are of client 99

    Examples:
      | equal | more | marked |
      | 1     | 0    | 0      |
      | 1     | 20   | 0      |
      | 1     | 85   | 6      |
      | 3     | 85   | 6      |

  # Guards against a change where the deployment does not ask for it.
  Scenario: A balancer that does not judge targets tries the newest SYN
    Given a balancer that trusts targets
    When clients 1 to 50 send 1 SYNs each
    And clients 99 to 99 send 10 SYNs each
    Then 0 SYNs are marked, and they are of client 99
    When time goes by until the balancer tries again
    Then a SYN of client 99 is tried
    And no SYN was counted

Feature: The command-line tool
  Scenario Outline: Commands and their exit codes
    Given the tool and an API of which one balancer is down
    When the tool runs: <line>
    Then the tool exits with <exit> and prints <text>

    Examples:
      | line                                     | exit | text                        |
      | help                                     | 0    | data-centre out             |
      | help set                                 | 0    | usage: cumindrift set       |
      | get /data-centres/hel-a/state            | 0    | "in"                        |
      | get /teams/nobody                        | 4    | 408 NO_SUCH_PATH at /teams  |
      | set /data-centres/hel-a/state "out"      | 0    | 101 ACCEPTED: version 2     |
      | set /data-centres/hel-a/state "away"     | 4    | 402 WRONG_TYPE at /data     |
      | set /data-centres/hel-a/state {"a":1,a:2 | 4    | 400 SYNTAX                  |
      | set /data-centres/hel-a/state            | 6    | usage: cumindrift set       |
      | check /data-centres/hel-a/state "out"    | 0    | against version 1           |
      | remove /data-centres/van-c               | 0    | 101 ACCEPTED                |
      | remove /teams/todistajat/services/kaynti | 4    | 405 NOT_YOURS               |
      | data-centre out esp-b                    | 0    | /data-centres/esp-b/state   |
      | data-centre out nowhere                  | 4    | 408 NO_SUCH_PATH            |
      | data-centre off esp-b                    | 6    | usage: cumindrift data      |
      | roll-forward /data-centres 1             | 0    | 103 UNCHANGED               |
      | roll-forward /data-centres 9             | 4    | 410 VERSION_GONE            |
      | history                                  | 0    | supervisors                 |
      | diff 0 1                                 | 0    | /teams/studio               |
      | teams                                    | 0    | todistajat                  |
      | services studio                          | 0    | 10.20.0.3:700/udp           |
      | services nobody                          | 4    | 408 NO_SUCH_PATH            |
      | status                                   | 0    | data centre hel-a           |
      | handover                                 | 1    | It does not hold.           |
      | metrics cumindrift_request_seconds       | 0    | team=todistajat             |
      | codes 405                                | 0    | NOT_YOURS                   |
      | new-token studio                         | 0    | "holder": "studio"          |
      | help explain                             | 0    | usage: cumindrift explain   |
      | fly                                      | 6    | 605 BAD_COMMAND             |

  Scenario: JSON for programs
    Given the tool and an API of which one balancer is down
    When the tool runs with JSON output: get /data-centres/hel-a/state
    Then the tool prints JSON whose content is in
    When the tool runs with JSON output: get /teams/nobody
    Then the tool prints JSON whose code is 408
    And the tool prints JSON whose path is /teams/nobody

  Scenario: A write whose response is lost is retried with the same id
    Given the tool and an API of which one balancer is down
    And the tool loses 2 responses
    When the tool runs: data-centre out hel-a
    Then the tool exits with 0 and prints 103 UNCHANGED: version 2
    And the tool sent 3 writes with one id

  Scenario: A write with unknown outcome tells how to repeat it
    Given the tool and an API of which one balancer is down
    And the tool loses 4 responses
    When the tool runs: data-centre out hel-a
    Then the tool exits with 3 and prints repeat it with --write_id=
    When the tool repeats that write
    Then the tool exits with 0 and prints 103 UNCHANGED: version 2

  Scenario Outline: No balancer can be reached
    Given the tool and an API of which every balancer is down
    When the tool runs: <line>
    Then the tool exits with 6 and prints 604 NO_BALANCER

    Examples:
      | line                  |
      | get                   |
      | metrics               |
      | data-centre out hel-a |

  Scenario: A wrong token
    Given the tool and an API of which one balancer is down
    When the tool runs with a wrong token: data-centre out hel-a
    Then the tool exits with 4 and prints 406 NO_TOKEN

Feature: Settings are validated as a whole, and each write takes effect once

  Scenario Outline: Invalid changes are refused
    Given the settings of two teams
    When the settings are written with <fault>
    Then the settings are refused with <code> at <path>
    And the settings version is still 1

    Examples:
      | fault                     | code | path                                            |
      | an unknown field          | 401  | /teams/todistajat/services/kaynti               |
      | a text as port            | 402  | /teams/todistajat/services/kaynti/port          |
      | a port out of range       | 402  | /teams/todistajat/services/kaynti/port          |
      | a malformed ip            | 407  | /teams/todistajat/services/kaynti/ip            |
      | an address in use         | 407  | /teams/todistajat/services/asiakirja/ip         |
      | an unknown placement      | 407  | /teams/todistajat/services/kaynti/placement     |
      | an unknown front end      | 407  | /teams/todistajat/services/kaynti/front         |
      | an unknown data centre    | 407  | /teams/todistajat/services/kaynti/endpoints/x   |
      | a capital in a name       | 407  | /teams/todistajat/services/Kaynti               |
      | a missing parent          | 408  | /teams/nobody/services/kaynti                   |
      | every data centre out     | 407  | /data-centres                                   |
      | an unknown state          | 402  | /data-centres/hel-a/state                       |
      | the reserved team name    | 407  | /teams/supervisors                              |

  Scenario Outline: Authors write only what they own
    Given the settings of two teams
    When the settings at <path> are written by <author>
    Then the settings write answers <code>

    Examples:
      | author      | path                                   | code |
      | todistajat  | /teams/todistajat/services/kaynti/port | 101  |
      | todistajat  | /teams/studio/services/job-desk/port   | 405  |
      | todistajat  | /teams/todistajat                      | 101  |
      | todistajat  | /data-centres/hel-a/state              | 405  |
      | todistajat  | /                                      | 405  |
      | newcomer    | /teams/newcomer                        | 405  |
      | supervisors | /data-centres/hel-a/state              | 101  |
      | supervisors | /teams/todistajat/services/kaynti/port | 405  |
      | supervisors | /teams/newcomer                        | 101  |
      | supervisors | /teams/todistajat                      | 405  |

  Scenario Outline: Concurrent and failing writes
    Given the settings of two teams
    When settings write: <case>
    Then the settings write answers <code>
    And the settings version is <version>, the last published <published>

    Examples:
      | case                                                    | code | version | published |
      | two supervisors set the same state concurrently         | 404  | 2       | 2         |
      | a team and a supervisor write concurrently              | 101  | 3       | 3         |
      | a writer is paused while another sets the same field    | 404  | 2       | 2         |
      | a writer is paused while another sets another field     | 101  | 3       | 3         |
      | the answer is lost after the write took effect          | 101  | 2       | 2         |
      | every answer is lost and the store goes down            | 503  | 2       | 1         |
      | a write is lost and the next one is not run             | 503  | 1       | 1         |
      | the same write is repeated after its answer was lost    | 103  | 2       | 2         |
      | the platform is down                                    | 500  | 1       | 1         |
      | no peer confirms the version                            | 308  | 2       | 2         |
      | the write is repeated once peers are back               | 103  | 2       | 2         |
      | a write changes nothing                                 | 103  | 1       | 1         |
      | a roll-forward is based on a stale version              | 404  | 2       | 2         |
      | a roll-forward names a version without history          | 410  | 1       | 1         |
      | the stored object is invalid                            | 504  | 1       | 1         |

  Scenario: A conflict names the current version and the changed paths
    Given the settings of two teams
    When settings write: two supervisors set the same state concurrently
    Then the settings refusal says "version 2 is current; changed since: /data-centres/hel-a/state"

  Scenario: A team rolls forward to an earlier state of its settings
    Given the settings of two teams
    When the settings team changes a port, removes a service and rolls forward to the content of version 1
    Then the settings tree is that of version 1 under version 4

  Scenario: The oldest history is dropped to fit the size limit
    Given the settings of two teams
    When the settings record holds 9000 services and 3 changes that replace them all
    Then the settings body is at most a megabyte and has the newest change

  Scenario: Random writes with faults never lose an accepted write
    Given the settings of two teams
    When the settings get 400 random writes with faults, seed 7
    Then every accepted settings write is in the history exactly once
    And published settings versions never skip an accepted one

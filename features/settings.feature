Feature: Settings are checked whole, owned by their authors, and written once

  Scenario Outline: A change that does not hold together
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
      | an address taken          | 407  | /teams/todistajat/services/asiakirja/ip         |
      | an unknown placement      | 407  | /teams/todistajat/services/kaynti/placement     |
      | an unknown front end      | 407  | /teams/todistajat/services/kaynti/front         |
      | an unknown data centre    | 407  | /teams/todistajat/services/kaynti/endpoints/x   |
      | a capital in a name       | 407  | /teams/todistajat/services/Kaynti               |
      | a missing parent          | 408  | /teams/nobody/services/kaynti                   |
      | every data centre out     | 407  | /data-centres                                   |
      | an unknown state          | 402  | /data-centres/hel-a/state                       |
      | the reserved team name    | 407  | /teams/supervisors                              |

  Scenario Outline: Who may write where
    Given the settings of two teams
    When the settings at <path> are written by <author>
    Then the settings answer <code>

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

  Scenario Outline: Writes that race or fail
    Given the settings of two teams
    When settings race: <what happens>
    Then the settings answer <code>
    And the settings version is <version>, handed over <published>

    Examples:
      | what happens                                            | code | version | published |
      | two supervisors set the same state in a race            | 404  | 2       | 2         |
      | a team and a supervisor write in a race                 | 101  | 3       | 3         |
      | a writer is paused while another sets the same field    | 404  | 2       | 2         |
      | a writer is paused while another sets another field     | 101  | 3       | 3         |
      | the answer is lost after the write took effect          | 101  | 2       | 2         |
      | every answer is lost and the store goes down            | 503  | 2       | 1         |
      | a write is lost on its way and the next one not taken   | 503  | 1       | 1         |
      | the same write is repeated after its answer was lost    | 103  | 2       | 2         |
      | the platform is down                                    | 500  | 1       | 1         |
      | no peer confirms the snapshot                           | 308  | 2       | 2         |
      | the write is repeated once peers are back               | 103  | 2       | 2         |
      | a write changes nothing                                 | 103  | 1       | 1         |
      | a stale version is rolled forward to                    | 404  | 2       | 2         |
      | a version that the history lost is rolled forward to    | 410  | 1       | 1         |
      | the stored object cannot be read                        | 504  | 1       | 1         |

  Scenario: A refused race names the current version and what differs
    Given the settings of two teams
    When settings race: two supervisors set the same state in a race
    Then the settings refusal says "version 2 is current; changed since: /data-centres/hel-a/state"

  Scenario: A team's history rolls forward to an earlier state
    Given the settings of two teams
    When the settings team changes a port, removes a service and rolls forward to 1
    Then the settings tree is that of version 1 under version 4

  Scenario: The oldest history yields to the megabyte
    Given the settings of two teams
    When the settings record holds 9000 services and 3 whole changes of them
    Then the settings body is at most a megabyte and the newest change is kept

  Scenario: Random writers never lose an accepted write
    Given the settings of two teams
    When the settings take 400 random faulty writes, seed 7
    Then every accepted settings write is in the history exactly once
    And published settings versions never skip an accepted one

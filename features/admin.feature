Feature: Every response of the administration API has a result code

  Scenario Outline: Calls that are refused
    Given an administration API on a balancer
    When the API receives <call>
    Then the API responds <status> with code <code>
    And the settings are still version 1

    Examples:
      | call                                    | status | code |
      | a put without a token                   | 401    | 406  |
      | a put with a wrong secret               | 401    | 406  |
      | a put with a token of an unknown holder | 401    | 406  |
      | a put into another team's subtree       | 403    | 405  |
      | a put without a version                 | 400    | 411  |
      | a put with a version of 5000 digits     | 400    | 411  |
      | a put without a write id                | 400    | 411  |
      | a put with duplicate keys               | 400    | 403  |
      | a put with a truncated document         | 400    | 400  |
      | a put with comments                     | 400    | 400  |
      | a put that is not UTF-8                 | 400    | 400  |
      | a put nested too deeply                 | 400    | 400  |
      | a put with an unknown field             | 400    | 401  |
      | a put with not a number                 | 400    | 402  |
      | a put of more than a megabyte           | 413    | 409  |
      | a put against an old version            | 409    | 404  |
      | a put while the platform is down        | 503    | 500  |
      | a put whose write never completes       | 504    | 300  |
      | a roll forward to a missing version     | 410    | 410  |
      | a roll forward without a version        | 400    | 411  |
      | a page that does not exist              | 404    | 408  |
      | a path that does not exist              | 404    | 408  |
      | a method that is not served             | 404    | 408  |
      | a head that is not HTTP                 | 400    | 411  |
      | a head of 40 kilobytes                  | 431    | 411  |
      | a body that never ends                  | 408    | 411  |
      | a connection without a request          | 408    | 411  |

  Scenario: Agents serve readiness and metrics only
    Given an administration API on an agent
    When the API receives GET /ready
    Then the API responds 200 with a field ready of True
    When the API receives GET /settings
    Then the API responds 404 with code 408

  Scenario: A change is put, checked, compared, listed and rolled forward
    Given an administration API on a balancer
    When supervisors put "out" at /data-centres/hel-a/state by the API
    Then the API responds 200 with code 101
    And the API lists 2 changes, newest of /data-centres/hel-a/state by supervisors
    And the API shows one change to "out" from version 1 to 2
    When the API is asked to check "in" at /data-centres/hel-a/state
    Then the API responds 200 with one change, and version 2 is in force
    When supervisors roll forward to the content of version 1 by the API
    Then the API responds 200 with code 101
    And version 3 is in force with hel-a in

  Scenario: A put repeated with the same write id changes nothing
    Given an administration API on a balancer
    When supervisors put "out" at /data-centres/hel-a/state by the API
    And supervisors put "out" at /data-centres/hel-a/state by the API
    Then the API responds 200 with code 103

  Scenario: Write ids of different token holders are independent
    Given an administration API on a balancer
    When supervisors put "out" at /data-centres/hel-a/state by the API
    And todistajat put 701 at /teams/todistajat/services/kaynti/port by the API
    Then the API responds 200 with code 101

  Scenario: Tokens do not appear in logs or responses
    Given an administration API on a balancer
    When valid and invalid tokens are used while the log is captured
    Then no secret, salt or digest is in the log or in a response

  Scenario Outline: The handover report
    Given an administration API on a balancer
    And kaynti needs <peak> slots and has <targets> targets in hel-a, esp-b, van-c
    And at the shift handover <condition>
    When the API receives GET /handover
    Then the handover holds: <holds>, for the check <check>

    Examples:
      | peak | targets | condition            | holds | check            |
      | 16   | 3,2,2   | nothing is wrong     | True  | data-centre-lost |
      | 17   | 3,2,2   | nothing is wrong     | False | data-centre-lost |
      | 0    | 1,0,0   | nothing is wrong     | False | data-centre-lost |
      | 0    | 2,2,2   | nothing is wrong     | False | planned          |
      | 0    | 3,2,2   | nothing is wrong     | True  | planned          |
      | 0    | 3,2,2   | a member is outdated | False | in-force         |
      | 0    | 3,2,2   | the platform is down | False | platform         |
      | 0    | 3,2,2   | a target is draining | False | planned          |
      | 16   | 3,2,2   | van-c is out         | False | data-centre-lost |

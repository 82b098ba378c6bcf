Feature: End-to-end requests in virtual time with the real encoding
  Callers, fabric, balancers, agents and targets exchange messages that are
  encoded and sealed as between processes.

  Scenario Outline: Requests run once, through any balancer
    Given the small deployment with seed <seed> and <loss>% loss, up for <up> s
    When 20 callers each make 5 requests
    Then every request is done
    And no request ran twice

    Examples:
      | seed | loss | up |
      | 1    | 0    | 3  |
      | 2    | 5    | 40 |
      | 3    | 10   | 40 |

  Scenario Outline: An open under loss may be refused while views differ
    Given the small deployment with seed <seed> and 10% loss, up for 3 s
    When 20 callers each make 5 requests
    Then every request is done, or not run as reported
    And at least 90% of the requests are done
    And no request ran twice

    Examples:
      | seed |
      | 3    |
      | 4    |

  Scenario: A data centre that is taken out gets no request after 3 s
    Given the small deployment with seed 4 and 0% loss, up for 3 s
    And 20 callers each make 5 requests
    When the data centre van-c is taken out
    And callers continue for 10 s
    Then no target in van-c started a request later than 3 s after that
    And no request ran twice

  Scenario: Requests that wait at a target do not run once its data centre is out
    Given the small deployment with seed 9 and 0% loss, up for 3 s
    And every target takes 2 s for a request
    And 40 callers each start 1 request that may take 20 s
    When the data centre van-c is taken out
    And 20 s pass
    Then no target in van-c started a request later than 3 s after that
    And no request ran twice

  Scenario: Flows continue when a balancer dies
    Given the small deployment with seed 5 and 0% loss, up for 3 s
    And 20 callers each make 5 requests
    When balancer-2 dies
    And callers continue for 10 s
    Then no flow was lost
    And no request ran twice

  Scenario Outline: A planned restart of an agent loses no flow
    Given the small deployment with seed <seed> and <loss>% loss, up for 40 s
    And 20 callers each make 5 requests
    When the agent that holds most flows restarts gracefully
    And callers continue for 10 s
    Then no flow was lost
    And no request ran twice

    Examples:
      | seed | loss |
      | 7    | 0    |
      | 8    | 5    |

  Scenario: A forged datagram changes nothing
    Given the small deployment with seed 6 and 0% loss, up for 3 s
    When balancer-1 gets a message sealed with another key
    Then balancer-1 still has settings version 1

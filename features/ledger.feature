Feature: The request ledger
  A request runs at most once, and "not run" is reported only if it is true and
  stays true.

  Scenario Outline: Replies to repeated, late and reordered messages
    Given the ledger of a new agent
    When the ledger processes <script>
    Then the ledger's last replies are <replies>
    And the ledger ran <runs> requests

    Examples: known ids
      | script                                | replies         | runs |
      | request                               | none            | 1    |
      | request, request                      | STILL_RUNNING   | 1    |
      | request, answer, request              | part 0          | 1    |
      | request, answer, acknowledge, request | ANSWER_DROPPED  | 1    |
      | request, fail, request                | TARGET_FAILED   | 1    |
      | request, unreached, request           | NOT_SENT        | 1    |
      | request, head 503, request            | TARGET_SHED     | 1    |
      | request, head 500, body, end          | part 0          | 1    |
      | short, wait 1, request                | DEADLINE_PASSED | 1    |

    Examples: ids without an entry that must not run
      | script                                       | replies           | runs |
      | foreign                                      | OTHER_INCARNATION | 0    |
      | future                                       | ID_EXPIRED        | 0    |
      | malformed                                    | BAD_REQUEST       | 0    |
      | wait 301, request                            | ID_EXPIRED        | 0    |
      | request, answer, wait 301, request           | ID_EXPIRED        | 1    |
      | request, restart, request                    | OTHER_INCARNATION | 1    |
      | request, answer, wait 301, cancel            | ID_EXPIRED        | 1    |
      | request, wait 299, answer, wait 299, request | part 0            | 1    |
      | request, wait 299, answer, wait 301, request | ID_EXPIRED        | 1    |

    Examples: retries in another flow, created later
      | script                                                  | replies    | runs |
      | request, unreached, wait 10, retried                    | NOT_SENT   | 1    |
      | request, unreached, wait 10, retried, wait 291, retried | ID_EXPIRED | 1    |

    Examples: cancels
      | script                           | replies         | runs |
      | cancel, request                  | CANCELLED       | 0    |
      | request, cancel                  | OUTCOME_UNKNOWN | 1    |
      | request, cancel, answer, request | OUTCOME_UNKNOWN | 1    |
      | request, answer, cancel          | part 0          | 1    |

    Examples: planned restarts
      | script                                       | replies         | runs |
      | stop, request                                | STOPPING        | 0    |
      | request, stop, answer                        | part 0          | 1    |
      | request, answer, handover, request           | ANSWER_DROPPED  | 1    |
      | stop, request, handover, request             | STOPPING        | 0    |
      | request, handover, request                   | OUTCOME_UNKNOWN | 1    |
      | handover, request                            | none            | 1    |
      | request, answer, handover, wait 301, request | ID_EXPIRED      | 1    |
      | request, answer, handover, handover, request | ANSWER_DROPPED  | 1    |
      | export, request                              | none            | 0    |

  Scenario Outline: Parts of a response
    Given the ledger of a new agent
    When the ledger processes <script>
    Then the ledger's last replies are <replies>
    And the connection to the target is <state>

    Examples:
      | script                                 | replies         | state  |
      | request, head, body 3000               | part 0, part 1  | open   |
      | request, head, body 3000, ask 1        | part 1          | open   |
      | request, head, body 3000, ask 1, ask 0 | ANSWER_DROPPED  | open   |
      | request, head, body 3000, ask 2        | STILL_RUNNING   | open   |
      | request, head, body 60000, ask 16 8    | parts 16 to 23  | paused |
      | request, head, body 60000, ask 32      | parts 32 to 53  | open   |
      | request, head, body 60000, wait 31     | CALLER_QUIET    | closed |
      | request, head, body 60000, cancel      | OUTCOME_UNKNOWN | closed |

  Scenario Outline: The ledger is bounded
    Given a ledger that keeps <entries> entries and <octets> octets
    When the ledger processes <script>
    Then the ledger's last replies are <replies>
    And the ledger ran <runs> requests
    And the ledger is within its bounds

    Examples:
      | entries | octets | script                                      | replies        | runs |
      | 10      | 1000   | request, answer, wait 1, others 30, request | ID_EXPIRED     | 31   |
      | 10      | 1000   | wait 1, others 30, request                  | ID_EXPIRED     | 30   |
      | 1000    | 50     | request, answer, others 5, request          | ANSWER_DROPPED | 6    |

  Scenario: A caller whose address changed gets the response at the new one
    Given the ledger of a new agent
    When the ledger processes request, moved, request, answer
    Then the ledger's last replies go to the caller's new address

  Scenario: A planned stop waits until the response is acknowledged
    Given the ledger of a new agent
    When the ledger processes request, stop
    Then the agent has not stopped
    When the ledger processes answer
    Then the agent has not stopped
    When the ledger processes acknowledge
    Then the agent has stopped

  Scenario: A response that is never acknowledged does not block the stop
    Given the ledger of a new agent
    When the ledger processes request, stop, answer, wait 11
    Then the agent has stopped

  Scenario Outline: Random messages under faults of every kind
    When <events> messages are run under faults with seed <seed>
    Then no request ran twice, was falsely refused or got a wrong response

    Examples:
      | seed | events |
      | 1    | 4000   |
      | 2    | 4000   |

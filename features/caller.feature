Feature: Callers
  A caller gets the complete response to its own request, or a true outcome.

  Scenario Outline: Outcomes of a session for messages in any order
    Given a caller's session
    When the session processes <script>
    Then its outcome is <outcome>

    Examples: responses
      | script                                                    | outcome   |
      | request, opened, last 0                                   | <0>       |
      | request, opened, part 0, part 1, last 2                   | <0><1><2> |
      | request, opened, last 2, part 1, part 0                   | <0><1><2> |
      | request, opened, part 0, part 0, last 1, last 1           | <0><1>    |
      | request, opened, unrelated, last 0                        | <0>       |
      | request, opened, garbage, last 0                          | <0>       |
      | request, opened, part 0, last 2                           | none      |
      | request, opened, part 0, verdict ANSWER_DROPPED 1, last 1 | <0><1>    |
      | request, opened, verdict FLOW_LOST, last 0                | <0>       |
      | request, opened, verdict STILL_RUNNING, last 0            | <0>       |
      | request, opened, verdict CANCELLED, last 0                | CANCELLED |

    Examples: no responses
      | script                                                                                   | outcome           |
      | request, refused                                                                         | NO_ROOM           |
      | request 10, wait 1, wait 6                                                               | NO_SUCH_FLOW      |
      | request 3, wait 4                                                                        | TOO_LATE          |
      | request 3, opened, wait 4                                                                | DEADLINE_PASSED   |
      | request, opened, part 0, verdict ANSWER_DROPPED 3                                        | ANSWER_DROPPED    |
      | request, opened, part 0, verdict TARGET_FAILED                                           | TARGET_FAILED     |
      | request, opened, verdict OTHER_INCARNATION                                               | OTHER_INCARNATION |
      | request, opened, verdict NO_ROOM                                                         | NO_ROOM           |
      | request, opened, verdict FLOW_LOST, wait 1, verdict FLOW_LOST, wait 1, verdict FLOW_LOST | FLOW_LOST         |
      | request, opened, verdict FLOW_LOST, verdict FLOW_LOST, verdict FLOW_LOST                 | none              |
      | request, cancel, opened                                                                  | CANCELLED         |
      | request, verdict NO_ROOM                                                                 | none              |

  Scenario Outline: What a session sends
    Given a caller's session
    When the session processes <script>
    Then it has sent <messages>

    Examples:
      | script                                             | messages                |
      | request, opened                                    | Request                 |
      | request, opened, wait 1                            | Request, Request        |
      | request, opened, opened 78                         | Request                 |
      | request, opened, last 0                            | Request, Acknowledge    |
      | request, opened, part 0, wait 1                    | Request, PartAsk        |
      | request, opened, cancel                            | Request, Cancel         |
      | request, opened, cancel, wait 1                    | Request, Cancel, Cancel |
      | request 3, opened, wait 4                          | Request, Cancel         |
      | request, opened, verdict OTHER_INCARNATION, wait 1 | Request, Open           |

  Scenario: Every copy of a request has the same incarnation and creation time
    Given a caller's session
    When the session processes request, opened, wait 1, wait 1
    Then all copies have the same incarnation and creation time, and count up

  Scenario Outline: Which outcomes are retried, and how often
    Given a service whose agents reply <code>
    When a caller makes <calls> calls
    Then the agents received <attempts> attempts
    And all calls ended
    And all attempts of a call had one id
    And only the flow in use is open

    Examples:
      | code              | calls | attempts |
      | NO_ROOM           | 1     | 3        |
      | STOPPING          | 1     | 3        |
      | TARGET_SHED       | 1     | 3        |
      | CANCELLED         | 1     | 1        |
      | TOO_LATE          | 1     | 1        |
      | OUTCOME_UNKNOWN   | 1     | 1        |
      | TARGET_FAILED     | 1     | 1        |
      | OTHER_INCARNATION | 1     | 1        |
      | FLOW_LOST         | 1     | 1        |
      | NO_ROOM           | 102   | 122      |

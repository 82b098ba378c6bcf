Feature: Documents in JSON with comments
  A document is parsed completely, or refused with a path and a result code.

  Scenario Outline: An invalid process settings file is refused
    Given a process settings file with <fault>
    When it is parsed
    Then it is refused with code <code> at <path>

    Examples:
      | fault             | code | path          |
      | a duplicate key   | 403  | $             |
      | an unknown field  | 401  | $             |
      | a text as slots   | 402  | $.target.slots |
      | a bad address     | 402  | $.peer        |
      | a short key       | 402  | $.keys        |
      | a missing brace   | 400  | $             |

  Scenario Outline: JSON without comments is checked as strictly
    Given a process settings file with <fault>
    When it is parsed as JSON without comments
    Then it is refused with code <code> at <path>

    Examples:
      | fault             | code | path           |
      | a duplicate key   | 403  | $              |
      | an unknown field  | 401  | $              |
      | a missing brace   | 400  | $              |
      | comments          | 400  | $              |

  Scenario: Comments are allowed
    Given a process settings file with comments
    When it is parsed
    Then it is accepted

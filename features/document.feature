Feature: Documents in JSON with comments
  A document is read whole or refused with a path and a result code.

  Scenario Outline: A faulty process settings file
    Given a process settings file with <fault>
    When it is read
    Then it is refused with code <code> at <path>

    Examples:
      | fault             | code | path          |
      | a duplicate key   | 403  | $             |
      | an unknown field  | 401  | $             |
      | a text as slots   | 402  | $.target.slots |
      | a bad address     | 402  | $.peer        |
      | a short key       | 402  | $.keys        |
      | a missing brace   | 400  | $             |

  Scenario Outline: Plain JSON from programs is checked as strictly
    Given a process settings file with <fault>
    When it is read as plain JSON
    Then it is refused with code <code> at <path>

    Examples:
      | fault             | code | path           |
      | a duplicate key   | 403  | $              |
      | an unknown field  | 401  | $              |
      | a missing brace   | 400  | $              |
      | comments          | 400  | $              |

  Scenario: Comments are allowed
    Given a process settings file with comments
    When it is read
    Then it is accepted

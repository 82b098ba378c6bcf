Feature: An agent removes the record of its flows when its target has ended

  # Guards against records that stay in the store after their agent has left.
  Scenario Outline: A removal waits until the store holds no record
    Given an agent that has not read the record of its flows
    When <what>
    And the removal of the record is requested
    Then the record does not count as removed
    When the running call ends with <result>
    Then the record does not count as removed
    And the next call removes the record
    When the running call ends with done
    Then the record counts as removed

    Examples:
      | what                                    | result |
      | the record is being read                | done   |
      | the record is being read                | lost   |
      | no record is found, and one is written  | done   |
      | no record is found, and one is written  | lost   |
      | a record is found, and one is written   | lost   |

  Scenario: A removal before the first read makes one call
    Given an agent that has not read the record of its flows
    When the removal of the record is requested
    Then the record does not count as removed
    And the next call removes the record
    When the running call ends with absent
    Then the record counts as removed

  Scenario: Nothing is removed where nothing is stored
    Given an agent that has not read the record of its flows
    When no record is found
    And the removal of the record is requested
    Then the record counts as removed
    And no call is made

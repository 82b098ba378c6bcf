Feature: The target stand-in serves callers of all kinds

  # Guards against a target of the demonstration that answers nothing any more
  # after a caller reset its connection while the answer was being written.
  Scenario: A target answers although other callers reset their connections
    Given a target stand-in as a process
    When 600 callers ask it and reset their connections within 4 ms
    Then it answers the next caller

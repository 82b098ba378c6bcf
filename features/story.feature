Feature: The history of a flow from the logs of many nodes

  Scenario: Events of several nodes are merged in order
    Given logs of a balancer and an agent, whose flow was opened and reset
    When the history of 100.64.0.7:40001 is shown
    Then the history is open-sent, flow-opened, flow-searched, flow-reset

  Scenario: A wall clock that jumps and jumps back does not change the order
    Given logs of a balancer and an agent, whose flow was opened and reset
    And the agent's wall clock was 3 s ahead for one line
    When the history of 100.64.0.7:40001 is shown
    Then the history is open-sent, flow-opened, flow-searched, flow-reset

  Scenario: Lines with the prefix of the lab are read, other lines are ignored
    Given a log line "  12.5 side-1 {\"time\": 1, \"up_s\": 2, \"node\": \"a\", \"event\": \"b\"}"
    And a log line "{broken"
    And a log line "Traceback: something"
    Then 1 event is read

  Scenario Outline: The commands
    When the command is <line>
    Then its exit code is <code> and it says <text>

    Examples:
      | line                          | code | text                          |
      | story                         | 6    | usage                         |
      | story x /nowhere              | 6    | usage                         |
      | story 1.2.3.4:5 /nowhere      | 6    | No such file                  |
      | check-node (a good file)      | 0    | agent side-hel-a-1: in order  |
      | check-node (a bad file)       | 4    | WRONG_TYPE                    |

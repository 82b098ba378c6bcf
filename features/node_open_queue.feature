Feature: SYNs wait at a balancer in an order, and only while it helps

  Scenario: Waiting SYNs are tried one at a time while none finds room
    Given a balancer that knows 12 agents
    When 50 clients send a SYN and all agents are full
    And time goes by until the balancer tries again
    Then 1 SYN is sent

  Scenario: A SYN that waits is sent to one list of candidates at a time
    Given a balancer that knows 12 agents
    When 50 clients send a SYN and all agents are full
    And 0.12 s go by at the balancer and all agents are full
    Then 1 SYN is sent

  Scenario: Each SYN that finds room lets two others try
    Given a balancer that knows 12 agents
    When 50 clients send a SYN and all agents are full
    And time goes by until the balancer tries again
    And the agents take what is sent
    Then 2 SYNs are sent
    When the agents take what is sent
    Then 4 SYNs are sent

  Scenario: The newest of the most urgent SYNs is tried first
    Given a balancer that knows 3 agents
    When 3 clients send a SYN and all agents are full
    And 2 clients send an urgent SYN and all agents are full
    And 2 clients send a SYN and all agents are full
    And time goes by until the balancer tries again
    Then the SYN of client 5 is sent

  Scenario: A new SYN does not overtake more urgent ones that wait
    Given a balancer that knows 3 agents
    When 2 clients send an urgent SYN and all agents are full
    And 1 clients send a SYN
    Then the SYN of client 2 is sent

  Scenario Outline: A SYN is refused once too little of its time limit is left
    Given a balancer that knows 3 agents
    And a route with a time limit of <limit> s and a target latency of <latency> s
    When 1 clients send a SYN and all agents are full
    And <waited> s go by at the balancer and all agents are full
    Then <count> clients are reset

    Examples:
      | limit | latency | waited | count |
      | 0.8   | 0.14    | 0.6    | 0     |
      | 0.8   | 0.14    | 0.72   | 1     |
      | 0.3   | 0.25    | 0.1    | 0     |
      | 0.3   | 0.25    | 0.2    | 1     |
      | 8     | 0.5     | 0.9    | 0     |
      | 8     | 0.5     | 1.05   | 1     |

  # Guards against the reset of a flow that another balancer has opened: routers
  # may change their choice while a SYN waits.
  Scenario: A SYN whose copies went to another balancer is not reset
    Given a balancer that knows 3 agents
    And a route with a time limit of 8 s and a target latency of 0.5 s
    When 1 clients send a SYN whose later copies do not come, and all agents are full
    And 1.2 s go by at the balancer and all agents are full
    Then 0 clients are reset
    And the balancer has logged open-left once

  Scenario: A SYN that an agent may still deliver is not reset
    Given a balancer that knows 1 agents
    When 1 clients send a SYN
    And 1.3 s go by at the balancer
    Then 0 clients are reset

  Scenario: The least urgent SYN is refused at once when too many wait
    Given a balancer that knows 3 agents
    When 256 clients send an urgent SYN and all agents are full
    Then 0 clients are reset
    When 1 clients send a SYN and all agents are full
    Then client 257 is reset

  Scenario: A copy of a waiting SYN does not jump the queue
    Given a balancer that knows 3 agents
    When 3 clients send a SYN and all agents are full
    And client 1 sends its SYN again
    Then 0 SYNs are sent

  Scenario: SYNs are placed as soon as they come once the queue is empty
    Given a balancer that knows 3 agents
    When 2 clients send a SYN and all agents are full
    And time goes by until the balancer tries again
    And the agents take what is sent
    And the agents take what is sent
    And 3 clients send a SYN
    Then 3 SYNs are sent

  Scenario: An agent whose report of being full is old is tried again
    Given a balancer that knows 3 agents
    When agent 1 was full 2 s ago, and the others take 300 ms
    And the client sends a SYN
    Then the frame goes to agent 1

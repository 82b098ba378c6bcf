Feature: A balancer explains where it would send a SYN

  # Guards against an explanation that differs from what a SYN does.
  Scenario: A SYN goes to the agents that the explanation names, in its order
    Given a balancer that knows 9 agents
    Then each of 60 SYNs under changing load goes where the explanation says

  # Guards against a question that changes the answer to later SYNs.
  Scenario: An explanation sends nothing and changes nothing
    Given a balancer that knows 3 agents
    When 3 clients send a SYN and all agents are full
    And its state is compared before and after an explanation
    Then the state is the same
    Given a balancer that knows 3 agents
    And the address belongs to kaynti with weight 3 and asiakirja with weight 1
    When its state is compared before and after an explanation
    Then the state is the same

  # Guards against an agent that is put last without a reason shown.
  Scenario Outline: The reason why an agent ranks last
    Given a balancer that knows 3 agents
    And targets are judged by what they do
    When agent 2 is <reason>
    Then the explanation's services.0.agents.2.ip is "10.1.1.2"
    And the explanation's services.0.agents.2.reasons is ["<reason>"]

    Examples:
      | reason  |
      | silent  |
      | avoided |
      | ejected |

  # Guards against an empty table that does not say why no agent is offered.
  Scenario Outline: Why no agent would be offered a SYN
    Given a balancer that knows 3 agents
    And the balancer <lacks>
    Then the explanation's obstacles is [<obstacles>]
    And the line explain 10.1.0.10 1.2.3.4:5 198.18.0.1:443 exits with 1 and prints <text>

    Examples:
      | lacks                    | obstacles                                     | text                   |
      | has no route             | "no-route"                                    | 701 PACKET_NO_SERVICE  |
      | has not read evacuations | "directory-incomplete", "evacuations-unknown" | the evacuations are no |
      | has not listed agents    | "directory-incomplete"                        | directory is incomplet |
      | has no agents            | "no-agent"                                    | no agent serves        |
      | has evacuated all agents | "no-agent"                                    | data centres: 3        |

  # Guards against an exception, or an answer to another question, on bad input.
  Scenario Outline: Bad input is refused with a code
    Given a balancer that knows 3 agents
    Then the query <query> is refused with 411 at <path>

    Examples:
      | query                                                 | path    |
      | address=198.18.0.1:443                                | client  |
      | client=&address=198.18.0.1:443                        | client  |
      | client=1.2.3.4:5&client=1.2.3.4:6&address=1.2.3.4:443 | client  |
      | client=1.2.3.4:0&address=198.18.0.1:443               | client  |
      | client=1.2.3.4:%D9%A3&address=198.18.0.1:443          | client  |
      | client=1.2.3.4:5                                      | address |
      | client=1.2.3.4:5&address=198.18.0.1:65536             | address |
      | client=1.2.3.4:5&address=198.18.0:443                 | address |
      | client=1.2.3.4:5&address=%FF%00:443                   | address |

  # Guards against a queue that delays or refuses SYNs unseen.
  Scenario: The queue, and how long a SYN would be held
    Given a balancer that knows 3 agents
    And a route with a time limit of 2 s and a target latency of 0.4 s
    When 3 clients send a SYN and all agents are full
    Then the explanation's services.0.queue.waiting_count is 3
    And the explanation's services.0.queue.is_overloaded is false
    When a flow opens
    Then the explanation's services.0.queue.is_overloaded is true
    And the explanation's services.0.queue.hold_s is 1
    Given targets are judged by what they do
    Then the explanation's services.0.queue.hold_s is 1
    When the overload has lasted longer than the time limit
    Then the explanation's services.0.queue.hold_s is 0.08
    And the explanation's services.0.queue.must_wait is true

  # Guards against a table of one service where the route has several.
  Scenario: All services of a route are shown with their fractions
    Given a balancer that knows 3 agents
    And the address belongs to kaynti with weight 3 and asiakirja with weight 1
    Then the explanation's services.0.fraction is 0.75
    And the explanation's services.1.fraction is 0.25
    And the explanation's services.1.agents is []

  # Guards against the claim that a copy of a SYN starts anew.
  Scenario: What is known of the flow
    Given a balancer that knows 1 agents
    Then the explanation's flow is {"state": "new", "agent_ip": ""}
    When the client sends a SYN
    Then the explanation's flow is {"state": "sent", "agent_ip": "10.1.1.1"}
    When agent 1 reports that it holds the flow
    Then the explanation's flow is {"state": "open", "agent_ip": "10.1.1.1"}

  # Guards against inputs without an age, and a copy never read that looks new.
  Scenario: Each input has its age
    Given a balancer that knows 1 agents
    Then the explanation's manifest is {"version": null, "age_s": null}
    And the explanation's evacuations.age_s is null
    And the explanation's services.0.agents.0.report_age_s is null
    When its copies are confirmed and agent 1 reports, and 2 s go by
    Then the explanation's manifest is {"version": 3, "age_s": 2.0}
    And the explanation's evacuations is {"version": 7, "age_s": 2.0}
    And the explanation's services.0.agents.0.report_age_s is 2.0

  # Guards against exit codes that break the rules of the tool.
  Scenario Outline: The command
    Given a balancer that knows 3 agents
    Then the line <line> exits with <exit> and prints <text>

    Examples:
      | line                                               | exit | text                    |
      | explain 10.1.0.10 100.64.0.7:40001 198.18.0.1:443  | 0    | added to each cost at r |
      | explain 10.1.0.10 100.64.0.7:40001 198.18.0.1      | 4    | 411 BAD_CALL at address |
      | explain 10.1.0.10 100.64.0.7:&client=1 198.18.0.1  | 4    | 411 BAD_CALL at client  |
      | explain 10.1.0.99 100.64.0.7:40001 198.18.0.1:443  | 6    | 604 NO_BALANCER         |
      | explain front-1 100.64.0.7:40001 198.18.0.1:443    | 6    | usage: cumindrift expla |
      | explain 10.1.0.10 100.64.0.7:40001                 | 6    | usage: cumindrift expla |

  # Guards against programs that have to read the table.
  Scenario: JSON for programs
    Given a balancer that knows 3 agents
    Then the tool prints the page as JSON

  # Guards against a slower start of a node.
  Scenario: A balancer starts without the modules of the explanation
    Then a process that imports a balancer has not imported the explanation

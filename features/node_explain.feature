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
    Then the explanation ranks agent 2 last as <reason>

    Examples:
      | reason  |
      | silent  |
      | avoided |
      | ejected |

  # Guards against an empty table that does not say why no agent is offered.
  Scenario Outline: Why no agent would be offered a SYN
    Given a balancer that knows 3 agents
    And the balancer <lacks>
    Then the explanation gives the obstacles <obstacles>
    And the tool exits with 1 and its text has <text>

    Examples:
      | lacks                    | obstacles                                 | text                   |
      | has no route             | no-route                                  | 701 PACKET_NO_SERVICE  |
      | has not read evacuations | directory-incomplete, evacuations-unknown | the evacuations are no |
      | has not listed agents    | directory-incomplete                      | directory is incomplet |
      | has no agents            | no-agent                                  | no agent serves        |
      | has evacuated all agents | no-agent                                  | data centres: 3        |

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
    Then the queue has 3 waiting, is not overloaded and holds a SYN 1 s
    When a flow opens
    Then the queue has 3 waiting, is overloaded and holds a SYN 1 s
    Given targets are judged by what they do
    Then the queue has 3 waiting, is overloaded and holds a SYN 0.1 s

  # Guards against a table of one service where the route has several.
  Scenario: All services of a route are shown with their fractions
    Given a balancer that knows 3 agents
    And the address belongs to kaynti with weight 3 and asiakirja with weight 1
    Then the services are kaynti 0.75 with 3 agents, asiakirja 0.25 with 0 agents

  # Guards against the claim that a copy of a SYN starts anew.
  Scenario: What is known of the flow
    Given a balancer that knows 1 agents
    Then the flow is new at ""
    When the client sends a SYN
    Then the flow is sent at "10.1.1.1"
    When agent 1 reports that it holds the flow
    Then the flow is open at "10.1.1.1"

  # Guards against inputs without an age, and a copy never read that looks new.
  Scenario: Each input has its age
    Given a balancer that knows 3 agents
    Then the ages of manifest, evacuations and report of agent 1 are unknown
    When its copies are confirmed and agent 1 reports, and 2 s go by
    Then the ages of manifest, evacuations and report of agent 1 are 2 s

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

Feature: An agent ejects a target that fails the requests it has accepted

  # Guards against a target that looks idle because it resets its requests at
  # once, and therefore gets the next flows.
  Scenario: A target that resets two requests gets no further flow
    Given an agent that judges its target
    When the target resets 2 requests
    Then no flow is admitted
    And the reported penalty is 1000 percent
    And the agent has logged target-ejected

  Scenario: A single failure among many answers changes nothing
    Given an agent that judges its target
    When the target answers 5 requests
    And the target resets 1 requests
    And the target answers 5 requests
    And the target resets 1 requests
    Then a flow is admitted

  # Guards against changes for deployments that do not ask for this.
  Scenario: An agent that does not judge its target ejects nothing
    Given an agent that trusts its target
    When the target resets 5 requests
    Then a flow is admitted

  # Guards against targets that take requests and never answer.
  Scenario: Clients that give up late count as failures
    Given an agent that judges its target
    When 2 clients give up after 0.5 s
    Then no flow is admitted

  Scenario: Clients that leave early count for nothing
    Given an agent that judges its target
    When 5 clients give up after 0.1 s
    Then a flow is admitted

  # Guards against an ejection by the flows that a leaving target breaks off.
  Scenario: A target that drains is not ejected
    Given an agent that judges its target
    When the target drains and resets 3 requests
    Then the agent has not logged target-ejected

  Scenario: After the ejection, one idempotent request at a time is a trial
    Given an agent that judges its target
    When the target resets 2 requests
    And 0.6 s go by at that agent
    Then an urgent flow is not admitted
    And a flow is admitted
    And no flow is admitted

  # Guards against a service whose requests are all unsafe and whose target
  # would therefore never return.
  Scenario: Without idempotent requests, any request becomes a trial
    Given an agent that judges its target
    When the target resets 2 requests
    And 2.7 s go by at that agent
    Then an urgent flow is admitted

  Scenario: Three trials that succeed return the target
    Given an agent that judges its target
    When the target resets 2 requests
    And 0.6 s go by at that agent
    And the target answers 3 requests
    Then an urgent flow is admitted
    And the agent has logged target-returned

  # Guards against targets that go down and up by turns and are believed at
  # each return.
  Scenario Outline: Each failed trial doubles the time of the ejection
    Given an agent that judges its target
    When the target resets 2 requests
    And <trials> trials fail, each right after the ejection
    And <waited> s go by at that agent
    Then <outcome>

    Examples:
      | trials | waited | outcome            |
      | 1      | 0.9    | no flow is admitted |
      | 1      | 1.1    | a flow is admitted  |
      | 3      | 3.9    | no flow is admitted |
      | 3      | 4.1    | a flow is admitted  |
      | 8      | 8.1    | a flow is admitted  |

  Scenario: A long time without a failure makes the next ejection short
    Given an agent that judges its target
    When the target resets 2 requests
    And 3 trials fail, each right after the ejection
    And 4.1 s go by at that agent
    And the target answers 3 requests
    And 31 s go by at that agent
    And the target resets 2 requests
    And 0.6 s go by at that agent
    Then a flow is admitted

  # Guards against an ejection of so many targets that a service is empty.
  Scenario: A SYN that is forced gets through to an ejected target
    Given an agent that judges its target
    When the target resets 2 requests
    Then a forced flow is admitted

  Scenario Outline: SYNs are forced once more than half of the targets are ejected
    Given a busy balancer that judges targets
    When <count> of its 3 agents report an ejection
    Then the next SYN is <forced>

    Examples:
      | count | forced     |
      | 1     | not forced |
      | 2     | forced     |

  # Guards against a target that stays away because only its own reports, which
  # come with new flows, could end the penalty at a balancer.
  Scenario: An ejection that was reported some seconds ago no longer counts
    Given a busy balancer that judges targets
    When 2 of its 3 agents report an ejection
    And 4.1 s go by at that balancer
    Then the next SYN is not forced
    And the cost of agent 1 has no penalty

  # Guards against idle targets after a power loss: balancers that have met an
  # agent before its target was back avoid it.
  Scenario: An agent tells the balancers that it refused when its target serves
    Given an agent that judges its target, which has not come yet
    When a flow is opened
    Then the balancer is told that the target cannot serve
    When the target sends its first heartbeat
    Then the balancer is told that the target serves

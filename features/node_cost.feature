Feature: A balancer compares agents by what they cost a new flow

  # Guards against traffic between data centres that helps no client.
  Scenario Outline: Flows stay in their data centre until they would wait for a slot
    Given agents of 2 slots that take 50 ms, one here and one elsewhere
    And the agent here has <here> requests in progress, the other <elsewhere>
    Then a flow with a target latency of <latency> ms goes <where>

    Examples:
      | here | elsewhere | latency | where     |
      | 0    | 0         | 400     | here      |
      | 1    | 0         | 400     | here      |
      | 3    | 0         | 400     | elsewhere |
      | 3    | 3         | 400     | here      |
      | 1    | 0         | 100     | elsewhere |

  # Guards against a switch from one data centre to another: a share of the
  # flows follows the load.
  Scenario: Flows are shared with another data centre as the load here grows
    Given agents of 2 slots that take 50 ms, 3 here and as many elsewhere
    When 24 flows come at once
    Then from 3 to 11 of them go elsewhere

  # Guards against unsafe requests on a target that has failed lately: clients
  # cannot retry them.
  Scenario: Unsafe requests avoid a failing target more than others do
    Given agents of 2 slots that take 50 ms, one here and one elsewhere
    And the agent here has a penalty of 50 percent
    Then a flow with a target latency of 400 ms goes here
    And an unsafe flow with a target latency of 400 ms goes elsewhere

  # Guards against changes for deployments that do not ask for this.
  Scenario: Without the contract, the lightest agent is chosen
    Given agents of 2 slots that take 50 ms, one here and one elsewhere
    And the balancer trusts targets
    And the agent here has 1 requests in progress, the other 0
    Then a flow with a target latency of 400 ms goes elsewhere

  # Guards against agents without a target that attract each new flow, since
  # they are idle, and pass all of them on.
  Scenario: An agent whose target cannot serve is avoided longer each time
    Given agents of 2 slots that take 50 ms, one here and one elsewhere
    When the agent here reports 3 times, each when it is tried, that it cannot serve
    Then a flow with a target latency of 400 ms goes elsewhere for 2.3 s
    When the agent here reports that it can serve
    And 2.5 s go by at its balancer
    Then a flow with a target latency of 400 ms goes here

  # Guards against a target that was slow once and is never used again, since
  # only a new flow would show that it has recovered (soak, seed 695971284).
  Scenario: A slow target is tried again after a while
    Given agents of 2 slots that take 50 ms, one here and one elsewhere
    When the agent here reports a response time of 2000 ms
    Then a flow with a target latency of 400 ms goes elsewhere for 5 s
    And it is tried again within 15 s while the other reports

  # Guards against a division by zero: the response time of an agent that has
  # never reported is as old as the host's clock (782 nodes ended in one play).
  Scenario: Agents that never reported are ranked on a host that runs for days
    Given agents of 2 slots that take 50 ms, one here and one elsewhere
    And none of them has reported, and the host has run for 10 days
    Then a flow with a target latency of 400 ms goes here

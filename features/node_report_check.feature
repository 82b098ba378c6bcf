Feature: A balancer leaves out loads that it cannot believe

  # Guards against a balancer that places flows by a load that is not the
  # target's: delayed, damaged, or of another sender.
  Scenario Outline: The load in an implausible report is left out and counted
    Given a busy balancer that judges targets
    And agent 1 has reported incarnation 5
    When it gets a report <what>
    Then the loads are as before
    And report-refused is logged at that balancer

    Examples:
      | what                                  |
      | of incarnation 4 from agent 1         |
      | of 5000 percent penalty from agent 1  |
      | of incarnation 9 from agent 77        |

  Scenario: A balancer that trusts targets applies what comes, as before
    Given a busy balancer that trusts targets
    And agent 1 has reported incarnation 5
    When it gets a report of incarnation 4 from agent 1
    Then the loads have changed

  # Guards against a target that stays out since the time of day was set back.
  Scenario: An earlier incarnation is believed after a while
    Given a busy balancer that judges targets
    And agent 1 has reported incarnation 5
    When 2.1 s go by at that balancer
    And it gets a report of incarnation 4 from agent 1
    Then the loads have changed

Feature: An agent believes only the heartbeats of its own target

  # Guards against requests run by another service, and against open flows that
  # are reset, since an agent took a foreign heartbeat for its target's.
  Scenario Outline: A foreign heartbeat changes nothing and is not acknowledged
    Given an agent with settings, <known> its target
    When a heartbeat <what> comes
    Then its effect is foreign
    And the target is as before
    And beat-refused is logged

    Examples:
      | known         | what                                  |
      | that knows    | of another address and a later start  |
      | that restarts beside | of another address and a later start |
      | that restarts beside | of another service             |

  # Guards against a target that is never served since its service has changed
  # while the agent runs.
  Scenario: A running agent follows its address to another service
    Given an agent with settings, that knows its target
    When a heartbeat of another service and a later start comes
    Then its effect is new incarnation

  # Guards against an agent whose entry another node has removed and that keeps
  # its flows to itself: balancers would take them for lost.
  Scenario: An agent that is told that it has no entry checks it
    Given an agent with settings, that knows its target
    When a balancer tells it that it has no entry
    Then it checks its entry in the store

Feature: A change is in force in time although watches have been lost

  A store that is silent for a moment takes the request of a watch and never
  answers it, on a connection that stays alive. Such a watch looks like one that
  has nothing to report.

  # Guards against requests that are handled by an older manifest for as long as a
  # lost watch waits (review/2).
  Scenario: A manifest is in force in time although the watches have been lost
    Given 50 balancers whose watches the store has lost
    When a manifest is written
    And 3 s go by at the store
    Then each balancer applies the manifest

  # Guards against a check of the manifest that a lagging replica of the store
  # answers.
  Scenario: A manifest is in force in time although lists are old as well
    Given 50 balancers whose watches the store has lost
    And lists of the store that may be stale are 6 s old
    When a manifest is written
    And 3 s go by at the store
    Then each balancer applies the manifest

  # Guards against a large deployment in which nobody asks but lagging replicas. Any
  # balancer that knows the manifest tells the others.
  Scenario: One of many balancers applies a manifest at once although lists are old
    Given 60 balancers whose watches the store has lost
    And each of them knows 136 agents
    And lists of the store that may be stale are 6 s old
    When a manifest is written
    And 2 s go by at the store
    Then at least one balancer applies the manifest

  Scenario: Silences at any moment delay no manifest beyond its time
    Given 30 random runs of a balancer whose store is silent at times
    Then each manifest is in force in time while the store is stable

  # Guards against a check that asks in vain for the changes of a history that the
  # store has dropped.
  Scenario: A lost watch whose history is gone lists the manifest again
    Given 10 balancers whose watches the store has lost
    When a manifest is written
    And the store drops its history
    And 3 s go by at the store
    Then each balancer applies the manifest

  # Guards against targets that get no flows because no balancer knows their agents,
  # for as long as a lost watch waits.
  Scenario Outline: An agent is known within seconds although the watches have been lost
    Given 50 balancers whose watches the store has lost
    And lists of the store that may be stale are <age> s old
    When an agent registers
    And 5 s go by at the store
    Then each balancer knows the agent

    Examples:
      | age |
      | 0   |
      | 0.5 |

  # Guards against one short silence that takes the watches of all balancers, which
  # have heard of the same change.
  Scenario Outline: Balancers do not renew their watches together after a change
    Given 100 balancers that hear of a change of the <kind>
    Then in no <window> s more than half of them watch it again

    Examples:
      | kind        | window |
      | manifest    | 0.1    |
      | agents      | 0.1    |
      | evacuations | 0.1    |

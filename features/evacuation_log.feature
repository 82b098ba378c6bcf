Feature: Who knew of an evacuation when, from the logs of many nodes

  Scenario: The time until each balancer knows, and the flows opened late
    Given logs of balancers front-1, front-2 and of an agent in hel-a
    And front-1 takes hel-a for evacuated at 10 s, of revision 12
    And front-2 takes hel-a for evacuated at 17 s, of revision 12
    And the agent opens a flow at 9 s, at 14.5 s and at 16 s
    And front-1 takes hel-a for open at 30 s
    And the agent opens a flow at 31 s
    When the evacuations in the logs are examined
    Then 1 evacuation is found
    And evacuation 1 is of hel-a, revision 12, from 10 s to 30 s
    And the last balancer knows of evacuation 1 after 7 s
    And the late flows of evacuation 1 were opened at 16 s

  Scenario: A balancer that starts during an evacuation is not late
    Given logs of balancers front-1, front-2 and of an agent in hel-a
    And front-1 takes hel-a for evacuated at 10 s, of revision 12
    And front-2 starts again at 20 s
    And front-2 takes hel-a for evacuated at 20.5 s, of revision 12
    When the evacuations in the logs are examined
    Then the last balancer knows of evacuation 1 after 0 s

  # front-2 is told of the first evacuation after it has ended.
  Scenario: Two evacuations of a data centre are told apart by their revisions
    Given logs of balancers front-1, front-2 and of an agent in hel-a
    And front-1 takes hel-a for evacuated at 10 s, of revision 12
    And front-1 takes hel-a for open at 12 s
    And front-2 takes hel-a for evacuated at 13 s, of revision 12
    And front-2 takes hel-a for open at 14 s
    And front-1 takes hel-a for evacuated at 40 s, of revision 19
    And the agent opens a flow at 20 s
    When the evacuations in the logs are examined
    Then 2 evacuations are found
    And evacuation 1 is of hel-a, revision 12, from 10 s to 12 s
    And evacuation 2 is of hel-a, revision 19, from 40 s to the end
    And evacuations 1 and 2 have no late flows

  # Guards against a table on which a balancer that never heard looks like one that
  # knew at once.
  Scenario: A balancer that opens flows without having heard is unaware
    Given logs of balancers front-1, front-2 and of an agent in hel-a
    And front-1 takes hel-a for evacuated at 10 s, of revision 12
    And front-1 sends a SYN at 15.5 s
    And front-2 sends a SYN at 14.5 s
    When the evacuations in the logs are examined
    Then evacuation 1 has no unaware balancer
    Given front-2 sends a SYN at 15.5 s
    When the evacuations in the logs are examined
    Then front-2 is unaware of evacuation 1

  Scenario: The command prints a line for each evacuation
    Given logs of balancers front-1, front-2 and of an agent in hel-a
    And front-1 takes hel-a for evacuated at 10 s, of revision 12
    And the agent opens a flow at 16 s
    When the command evacuations is given the logs
    Then it prints the line: hel-a 12 10.000 - 0.000 front-1 0 1

  Scenario: The command lists the late flows for programs
    Given logs of balancers front-1, front-2 and of an agent in hel-a
    And front-1 takes hel-a for evacuated at 10 s, of revision 12
    And the agent opens a flow at 16 s
    When the command evacuations is given the logs, for programs
    Then it prints that the evacuation has no end, and one flow late at 16 s

  Scenario: The command needs a log
    Given logs of balancers front-1, front-2 and of an agent in hel-a
    When the command evacuations is given nothing
    Then it prints how it is used

Feature: Balancers read from each other what the store does not tell them

  Scenario: A balancer that starts during an outage of the store reads from a peer
    Given a balancer with manifest 4, and a second one without data
    And the store does not respond to the second
    Then the second reads from peers
    When the second receives the first's objects
    Then manifest 4 is in force
    And the second continues watching at the revision of the first
    And it does not read from peers

  Scenario: A balancer that is told of newer evacuations reads them from a peer
    Given a balancer with manifest 4, and a second one without data
    And the second has the first's objects
    And the first has read that hel-a is evacuated, as of 50
    Then it does not read from peers
    When the second hears that the evacuations changed as of 50
    Then the second reads from peers
    When the second receives the first's objects
    Then hel-a is evacuated at the second
    And it does not read from peers

  Scenario: Older data of a peer is ignored
    Given a balancer with manifest 4, and a second one without data
    When the second has read a later revision
    And the second receives the first's objects
    Then nothing is adopted

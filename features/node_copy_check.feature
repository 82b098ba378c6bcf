Feature: A balancer notices that a watch has been lost

  A store that is silent may take the request of a watch and never answer it, on
  a connection that stays alive.

  # Guards against changes that a balancer misses for as long as a watch waits,
  # as in the incident of new flows to an evacuated data centre.
  Scenario: A check notices that a watch has missed a change
    Given a balancer that watches the evacuations, as of 40
    When 1 s goes by without a response to the watch
    Then it checks the evacuations by a list that may be stale
    When the check finds that hel-a is evacuated, as of 43
    Then the balancer takes hel-a for evacuated
    And its watch of the evacuations starts again from 43
    And it logs that watches were restarted, change missed

  Scenario Outline: A check that finds nothing newer changes nothing
    Given a balancer that watches the evacuations, as of 40
    When 1 s goes by without a response to the watch
    And it checks the evacuations
    And the check finds <what>, as of <as_of>
    Then the balancer takes no data centre for evacuated
    And its watch of the evacuations goes on
    And its copy of the evacuations is as of <copy_as_of>

    Examples:
      | what                    | as_of | copy_as_of |
      | no evacuation           | 47    | 47         |
      | that hel-a is evacuated | 39    | 40         |

  Scenario: After a failure a check asks for a list that is not stale
    Given a balancer that watches the evacuations, as of 40
    When 1 s goes by without a response to the watch
    And it checks the evacuations
    And the check is lost
    And 0.3 s goes by without a response to the watch
    Then it checks the evacuations by a list that is not stale

  # Guards against checks that show nothing for as long as the store's stale lists
  # lag behind, as they do after it has dropped its history.
  Scenario: After a list that is older than the copy a check asks for one that is not stale
    Given a balancer that watches the evacuations, as of 40
    When 1 s goes by without a response to the watch
    And it checks the evacuations
    And the check finds no evacuation, as of 39
    And 0.3 s goes by without a response to the watch
    Then it checks the evacuations by a list that is not stale
    When the check finds that hel-a is evacuated, as of 43
    Then the balancer takes hel-a for evacuated

  # Guards against watches that are restarted although they work: a watch reports at
  # once what has changed before it began, and a check would often report it first.
  Scenario Outline: A watch that has just begun is not checked
    Given a balancer that watches the <kind>, as of 40
    When its watch of the <kind> reports a change, as of 41
    And 5 s goes by without a response to the watch
    And its watch of the <kind> begins again
    Then it checks nothing
    When 0.4 s goes by without a response to the watch
    Then a check of the <kind> is due

    Examples:
      | kind        |
      | manifest    |
      | agents      |
      | evacuations |

  Scenario: Nothing is checked while the evacuations are listed
    Given a balancer that lists the evacuations
    When 5 s goes by without a response to the watch
    Then it checks nothing

  Scenario Outline: The time to apply a change sets the time between checks
    Given a node file in which the bound <bound> is <milliseconds>
    Then a balancer checks the <kind> every <seconds> s at the latest

    Examples:
      | bound           | milliseconds | kind        | seconds |
      | evacuate_ms     | 5000         | evacuations | 2       |
      | evacuate_ms     | 1500         | evacuations | 0.6     |
      | config_apply_ms | 3000         | manifest    | 1.8     |
      | config_apply_ms | 14000        | manifest    | 8.4     |

  # Guards against one short silence of the store that takes the watches of all
  # balancers, which have started together.
  Scenario: Balancers that start together do not renew their watches together
    Given 20 balancers that watch the evacuations
    Then their watches wait 20 s to 25 s, and no two the same time

  # Guards against watches that wait in vain after an outage, with a store that is
  # taken for unreachable although it is back.
  Scenario: The end of an outage restarts the watches that ran during it
    Given a balancer that watches the evacuations, as of 40
    When 1 s goes by without a response to the watch
    And it checks the evacuations
    And the check is lost
    Then its watch of the evacuations goes on
    When 0.3 s goes by without a response to the watch
    And it checks the evacuations
    And the check finds no evacuation, as of 40
    Then its watch of the evacuations starts again from 40
    And it logs that watches were restarted, store regained

  # Guards against logs that name the revision of another data centre.
  Scenario: The log of evacuations names each data centre's own revision
    Given a balancer that watches the evacuations, as of 40
    When its watch finds van-c evacuated, of revision 42, and hel-a, of 43
    Then it logs the evacuations of hel-a, van-c, of revisions 43, 42

  # Guards against metrics that cannot tell a copy without news from one that
  # nobody has confirmed for long.
  Scenario Outline: Metrics tell how old a copy is
    Given a balancer that watches the <kind>, as of 40
    When 4 s goes by without a response to the watch
    Then its metrics say that its copy of the <kind> is 4 s old

    Examples:
      | kind        |
      | manifest    |
      | agents      |
      | evacuations |

  # Guards against checks that cost the store more the more balancers there are.
  Scenario Outline: Balancers share the checks of the manifest that are not stale
    Given a balancer that knows <agents> agents and watches the manifest
    When it has checked the manifest 1000 times
    Then <low> to <high> of the checks were not stale

    Examples:
      | agents | low  | high |
      | 0      | 1000 | 1000 |
      | 16     | 1000 | 1000 |
      | 64     | 200  | 300  |
      | 160    | 70   | 130  |
      | 16000  | 70   | 130  |

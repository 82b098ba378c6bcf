Feature: The platform's link over sockets
  Scenario: Objects of a megabyte go there and back
    Given a platform link before a stand-in over sockets
    When the platform link writes 1048576 octets as "large"
    Then the platform link's outcomes are "DONE"
    When the platform link reads "large"
    Then the platform link's outcomes are "DONE DONE"
    And the platform link's last outcome holds 1048576 octets

  Scenario: A watch waits until another call writes
    Given a platform link before a stand-in over sockets
    When the platform link watches "settings" and then writes it
    Then the platform link's outcomes are "DONE DONE"

  Scenario: A lost answer is resolved by reading
    Given a platform link before a stand-in over sockets
    And the stand-in over sockets loses answers
    When the platform link writes 10 octets as "settings"
    Then the platform link's outcomes are "DONE"
    And the stand-in over sockets was called more than once

  Scenario: A link that is restarted repeats its calls
    Given a platform link before a stand-in over sockets
    And the stand-in over sockets answers late
    When the platform link reads "settings"
    And the platform link fails and is restarted
    Then the platform link's outcomes are "DONE"

  Scenario: Nobody listens
    Given a platform link before a port that nobody listens on
    When the platform link watches "settings"
    Then the platform link's outcomes are "PLATFORM_DOWN"

Feature: The object store's client over sockets
  Scenario: An object of a megabyte is written and read
    Given a platform link and a stand-in connected by sockets
    When the platform link writes 1048576 octets as "large"
    Then the platform link's outcomes are "DONE"
    When the platform link reads "large"
    Then the platform link's outcomes are "DONE DONE"
    And the platform link's last outcome holds 1048576 octets

  Scenario: A watch returns when another call writes
    Given a platform link and a stand-in connected by sockets
    When the platform link watches "settings" and then writes it
    Then the platform link's outcomes are "DONE DONE"

  Scenario: A write without response is resolved by reading
    Given a platform link and a stand-in connected by sockets
    And the stand-in with sockets loses responses
    When the platform link writes 10 octets as "settings"
    Then the platform link's outcomes are "DONE"
    And the stand-in with sockets received more than one call

  Scenario: Calls are retried after a restart of the link
    Given a platform link and a stand-in connected by sockets
    And the stand-in with sockets responds late
    When the platform link reads "settings"
    And the platform link fails and is restarted
    Then the platform link's outcomes are "DONE"

  Scenario: The platform refuses connections
    Given a platform link to a port without a listener
    When the platform link watches "settings"
    Then the platform link's outcomes are "PLATFORM_DOWN"

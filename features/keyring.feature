Feature: Messages between processes carry a keyed digest
  Scenario Outline: What opens under which keys
    Given a datagram that was sealed with key <sealed>
    When it is opened by a keyring of <keys>
    Then it is <outcome>

    Examples:
      | sealed | keys  | outcome |
      | a      | a     | opened  |
      | a      | a,b   | opened  |
      | a      | b,a   | opened  |
      | b      | a,b   | opened  |
      | b      | a     | refused |
      | c      | a,b   | refused |

  Scenario: A key is changed in steps, and every step is heard by all
    Given processes with the keys of each step of a change from a to b
    Then the processes of any two neighbouring steps open each other's words
    And those of the first and the last step do not

  Scenario Outline: A process takes only what is whole, sealed and for it
    Given a peer port that shares key a with its peers
    When a datagram arrives that is <kind>
    Then it is counted as <code> and reaches no core

    Examples:
      | kind                            | code              |
      | empty                           | MESSAGE_FORGED    |
      | shorter than a digest           | MESSAGE_FORGED    |
      | sealed with a foreign key       | MESSAGE_FORGED    |
      | not sealed                      | MESSAGE_FORGED    |
      | sealed and changed in one bit   | MESSAGE_FORGED    |
      | sealed and cut short            | MESSAGE_FORGED    |
      | sealed with nothing in it       | MESSAGE_MALFORMED |
      | sealed with an unknown family   | MESSAGE_MALFORMED |
      | sealed with half a message      | MESSAGE_MALFORMED |
      | sealed with a state of 99       | MESSAGE_MALFORMED |
      | sealed with uneven columns      | MESSAGE_MALFORMED |

  Scenario: A whole and sealed message reaches the core
    Given a peer port that shares key a with its peers
    When a datagram arrives that is whole and sealed
    Then it reaches the core

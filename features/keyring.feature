Feature: Messages between processes are signed with a shared key
  Scenario Outline: A datagram is valid if any key of the keyring signed it
    Given a datagram signed with key <signer>
    When it is verified by a keyring of <keys>
    Then it is <outcome>

    Examples:
      | signer | keys  | outcome |
      | a      | a     | valid   |
      | a      | a,b   | valid   |
      | a      | b,a   | valid   |
      | b      | a,b   | valid   |
      | b      | a     | invalid |
      | c      | a,b   | invalid |

  Scenario: During a key rotation processes at consecutive steps communicate
    Given processes with the keys of each step of a rotation from a to b
    Then processes at consecutive steps verify each other's datagrams
    And those at the first and the last step do not

  Scenario Outline: Invalid datagrams are dropped
    Given a peer port that shares key a with its peers
    When a datagram arrives that is <kind>
    Then it is counted as <code> and dropped

    Examples:
      | kind                            | code              |
      | empty                           | MESSAGE_FORGED    |
      | shorter than a digest           | MESSAGE_FORGED    |
      | signed with an unknown key      | MESSAGE_FORGED    |
      | not signed                      | MESSAGE_FORGED    |
      | signed, with one bit changed    | MESSAGE_FORGED    |
      | signed and truncated            | MESSAGE_FORGED    |
      | signed and empty inside         | MESSAGE_MALFORMED |
      | signed, of unknown family       | MESSAGE_MALFORMED |
      | signed, with half a message     | MESSAGE_MALFORMED |
      | signed, with a state of 99      | MESSAGE_MALFORMED |
      | signed, with uneven columns     | MESSAGE_MALFORMED |

  Scenario: The core receives a valid message
    Given a peer port that shares key a with its peers
    When a datagram arrives that is complete and signed
    Then the core receives it

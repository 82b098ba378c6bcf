Feature: Frames of steered packets
  Scenario: One flow through many balancers takes one route in the cache
    Given a codec and packets of 3 flows from 50 balancers
    When all frames are decoded
    Then each packet names the balancer that sent it
    And the codec caches 3 routes

  Scenario Outline: A truncated frame is rejected
    Given a codec and packets of 1 flows from 1 balancers
    When the frame is truncated to <octets> octets
    Then the frame cannot be decoded

    Examples:
      | octets |
      | 3      |
      | 7      |
      | 20     |
      | 60     |

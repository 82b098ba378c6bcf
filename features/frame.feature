Feature: Frames of steered packets
  Scenario: One flow through many balancers is one route in the cache
    Given a codec and packets of 3 flows from 50 balancers
    When all frames are decoded
    Then each packet names the balancer that sent it
    And the codec keeps 3 routes

  Scenario Outline: A frame that is not whole is refused
    Given a codec and packets of 1 flows from 1 balancers
    When the frame is cut to <octets> octets
    Then it cannot be decoded

    Examples:
      | octets |
      | 3      |
      | 7      |
      | 20     |
      | 60     |

Feature: The platform adapter reads heartbeats, settings, store answers and frames

  Scenario Outline: Heartbeats with a wrong or missing field are refused
    Given a heartbeat with <field> as <content>
    Then it is refused with code 402

    Examples:
      | field            | content     |
      | service          | 7           |
      | service          | (missing)   |
      | state            | "gone"      |
      | state            | null        |
      | sequence         | "4"         |
      | sequence         | true        |
      | sequence         | 1.5         |
      | born             | (missing)   |
      | born             | 1.5         |
      | address          | "nowhere"   |
      | max_concurrency  | "4"         |
      | warmup_left_ms   | "0"         |

  Scenario Outline: Heartbeats that are not a JSON object are refused
    Given the body of a heartbeat is <body>
    Then it is refused with code 402

    Examples:
      | body    |
      | []      |
      | 7       |
      | {       |
      | null    |

  Scenario: A heartbeat is read
    Given a heartbeat with state as "draining"
    Then it says that the target drains, with incarnation 1790000000000

  Scenario: A settings file is read, and unknown fields are ignored
    Given a settings file
    Then its node is side-hel-a-1 in hel-a, with peers on port 7720

  Scenario Outline: A settings file without a required field is refused
    Given a settings file without <field>
    Then it is refused with code 402

    Examples:
      | field               |
      | node_name           |
      | role                |
      | ip                  |
      | zone                |
      | internal_port_range |
      | app                 |

  Scenario: A settings file that is not TOML is refused
    Given a settings file of other text
    Then it is refused with code 400

  Scenario Outline: Answers of the store are classified
    When the store answers <status> with <body>
    Then the answer is <tag>

    Examples:
      | status | body                                     | tag          |
      | 200    | {"items": [], "as_of": 5}                | done         |
      | 200    | {"events": [], "as_of": 5}               | done         |
      | 200    | {"items": 5}                             | malformed    |
      | 200    | no json                                  | malformed    |
      | 201    | {"meta": {"name": "a", "revision": 3}}   | done         |
      | 404    | {}                                       | absent       |
      | 409    | {"meta": {"name": "a", "revision": 3}}   | conflict     |
      | 410    | {}                                       | history gone |
      | 429    | {}                                       | busy         |
      | 503    | {}                                       | busy         |
      | 500    | {}                                       | malformed    |

  Scenario: Unreadable objects are left out and counted
    When the store answers 200 with {"items": [7, {}, {"meta": {"name": 3}}, {"meta": {"name": "a", "revision": 2}, "spec": 1}], "as_of": 5}
    Then the answer holds 1 object and 3 that cannot be read

  Scenario Outline: Frames are decoded as they were encoded
    Given a frame of <what>
    Then it is decoded as it was encoded

    Examples:
      | what                   |
      | a SYN                  |
      | data in a search       |
      | a report with a packet |

  Scenario: Random octets never make the decoder fail
    Then 2000 frames of random octets are decoded or refused

  # Guards against settings that contradict themselves and are found out only
  # when the node serves.
  Scenario Outline: The whole of a settings file is checked, with key and what is allowed
    Given a settings file with <key> as <content>
    Then the check of its settings names <path>

    Examples:
      | key          | content     | path                         |
      | ip           | 10.1.0.14   | /listen_addrs/datagram_addr  |
      | heartbeat_ms | 2500        | /heartbeat_ms                |
      | heartbeat_ms | 0           | /heartbeat_ms                |
      | heartbeat_ms | 1200        | nothing                      |

Feature: Who was refused under load, from the logs of many nodes

  # Guards against a summary that takes a down service for an overloaded one, or
  # a node that has started again for one that still refuses.
  Scenario: Refusals, overloads and ejections over time
    Given the events
      | at_s | node    | event            | reason            | waited_s |
      | 0.1  | side-1  | flow-opened      |                   |          |
      | 0.2  | side-1  | open-passed      | full              |          |
      | 0.3  | side-2  | open-refused     | failing           |          |
      | 0.4  | side-2  | open-passed      | draining          |          |
      | 0.5  | side-2  | target-ejected   |                   |          |
      | 2.1  | front-1 | queue-overloaded |                   |          |
      | 2.2  | front-1 | open-reset       | NO_ROOM           | 0.09     |
      | 2.3  | front-1 | open-reset       | NO_ROOM           | 1.01     |
      | 2.4  | front-1 | open-reset       | PACKET_NO_SERVICE | 0        |
      | 4.1  | front-1 | node-started     |                   |          |
      | 4.2  | side-2  | target-returned  |                   |          |
      | 6.1  | front-1 | open-left        |                   |          |
    Then the windows are
      | from | opened | full | failing | other | early | late | left | overloaded | ejected |
      | 0    | 1      | 1    | 1       | 1     | 0     | 0    | 0    | 0          | 1       |
      | 2    | 0      | 0    | 0       | 0     | 1     | 1    | 0    | 1          | 1       |
      | 4    | 0      | 0    | 0       | 0     | 0     | 0    | 0    | 0          | 1       |
      | 6    | 0      | 0    | 0       | 0     | 0     | 0    | 1    | 0          | 0       |

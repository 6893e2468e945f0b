Feature: A part of prompts that crashes endpoints is refused, and safe prompts are not

  Scenario Outline: A fatal part at index <place> of <parts>, engines crash <crashes> and then <how>
    Guards against requests that share one part and crash one engine after the other.

    Given the whole path with 3 daemons
    When prompts of <parts> parts crash the engines that start to respond, no two alike
      | place   | crashes   | how   | times |
      | <place> | <crashes> | <how> | 20    |
    Then at most <lost> engines are lost, and the last 6 fatal requests are refused
    And safe requests are served from 1 s after the last loss, and at most 2 are refused as blamed

    Examples:
      | place | parts | crashes         | how     | lost |
      | 1     | 3     | after its head  | refuses | 3    |
      | 1     | 3     | before its head | refuses | 3    |
      | 1     | 3     | after an event  | refuses | 3    |
      | 1     | 3     | after its head  | new id  | 3    |
      | 1     | 3     | after its head  | same id | 3    |
      | 1     | 3     | after its head  | silent  | 5    |
      | 2     | 5     | after its head  | refuses | 3    |
      | 3     | 5     | before its head | new id  | 3    |
      | 0     | 3     | after its head  | refuses | 3    |

  Scenario: Two fatal parts at once are both refused
    Guards against losses by one part that are attributed to another.

    Given the whole path with 3 daemons
    When prompts with 2 fatal parts are sent at once, no two alike
    Then at most 7 engines are lost, and the last 6 fatal requests are refused
    And safe requests are served from 1 s after the last loss, and at most 2 are refused as blamed

  Scenario Outline: A host that <was> when the others learned of a fatal part refuses it
    Guards against hosts that still forward what the others refuse.

    Given the whole path with 3 daemons
    When a fatal part is sent to two hosts, and the third <was> then
    Then all hosts refuse it within 1 s of their readiness, and <more> more engines are lost

    Examples:
      | was                        | more |
      | was not started            | 0    |
      | was restarted              | 0    |
      | received no message        | 0    |
      | received messages 1 s late | 0    |

  Scenario: A fatal part is refused after all hosts were restarted
    Guards against refusals that are lost with the processes that decided on them.

    Given the whole path with 3 daemons
    When a fatal part is sent to all hosts, and all of them are restarted
    Then all hosts refuse it within 1 s of their readiness, and 0 more engines are lost

  Scenario: Each host gets each of several fatal parts once
    Guards against suspicion that is not shared between hosts.

    Given the whole path with 3 daemons
    When 2 fatal parts are sent once to each host, and then again
    Then at most 7 engines are lost, and the last 6 fatal requests are refused

  Scenario: A refusal that expires while such requests are still sent costs one more engine
    Guards against all hosts trying a fatal part again when its refusal expires.

    Given the whole path with 3 daemons
    When a refusal expires after 3 s, and prompts with its part are sent for 12 s
    Then at most 4 engines are lost, and the last 6 fatal requests are refused
    And safe requests are served from 1 s after the last loss, and at most 2 are refused as blamed

  Scenario: Half of the engines crash by themselves four times, and nothing is refused for it
    Guards against refusals of requests that ran on several engines which crashed together.

    Given the whole path with 3 daemons
    When half of the engines crash at once 4 times beside safe requests
    Then at most 1 safe request is refused as blamed, and no later one

  Scenario: A failed attempt on a suspected part is not retried before the loss is detected
    Guards against a retry that crashes a second engine before the first loss is known.

    Given the whole path with 1 daemons
    When a fatal part crashes an engine, whose loss is detected after 0.4 s
    Then no request with the part reaches an engine within those 0.4 s

  Scenario: Calls whose connections are reset are retried at once where the endpoint is alive
    Guards against calls that are delayed by a loss that did not happen.

    Given the whole path with 1 daemons
    When the connections of 6 look-ups are reset at once, and their endpoints stay alive
    Then all of them are served within 0.5 s

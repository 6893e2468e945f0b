Feature: A part of prompts that crashes endpoints is refused, and sound prompts are not

  Scenario Outline: A deadly part at place <place> of <parts>, engines end <ends> and are then <how>
    Guards against requests that share one part and end one engine after the other.

    Given the whole path with 3 daemons
    When prompts of <parts> parts crash the engines that begin an answer, no two alike
      | place   | ends   | how   | times |
      | <place> | <ends> | <how> | 20    |
    Then at most <lost> engines are lost, and the last 6 deadly requests are refused
    And sound requests are served from 1 s after the last loss, and at most 2 are refused as blamed

    Examples:
      | place | parts | ends            | how     | lost |
      | 1     | 3     | after its head  | refuses | 3    |
      | 1     | 3     | before its head | refuses | 3    |
      | 1     | 3     | after an event  | refuses | 3    |
      | 1     | 3     | after its head  | new id  | 3    |
      | 1     | 3     | after its head  | same id | 3    |
      | 1     | 3     | after its head  | silent  | 5    |
      | 2     | 5     | after its head  | refuses | 3    |
      | 3     | 5     | before its head | new id  | 3    |
      | 0     | 3     | after its head  | refuses | 3    |

  Scenario: Two deadly parts at once are both refused
    Guards against losses by one part that count against another.

    Given the whole path with 3 daemons
    When prompts with 2 deadly parts come at once, no two alike
    Then at most 7 engines are lost, and the last 6 deadly requests are refused
    And sound requests are served from 1 s after the last loss, and at most 2 are refused as blamed

  Scenario Outline: A host that <was> when the others learned of a deadly part refuses it
    Guards against hosts that go on passing on what the others refuse.

    Given the whole path with 3 daemons
    When two hosts meet a deadly part, and the third <was> then
    Then all hosts refuse it within 1 s of their readiness, and <more> more engines are lost

    Examples:
      | was                       | more |
      | was not started           | 0    |
      | started again             | 0    |
      | heard no other host       | 0    |
      | heard the others 1 s late | 0    |

  Scenario: A deadly part is refused after all hosts have started again
    Guards against blame that ends with the processes which learned of it.

    Given the whole path with 3 daemons
    When hosts meet a deadly part, and all of them start again
    Then all hosts refuse it within 1 s of their readiness, and 0 more engines are lost

  Scenario: A host that meets each of several deadly parts once
    Guards against blame that one host must learn alone.

    Given the whole path with 3 daemons
    When 2 deadly parts come once to each host, and then again
    Then at most 7 engines are lost, and the last 6 deadly requests are refused

  Scenario: A refusal that lapses while such requests still come costs one more engine
    Guards against all hosts trying a deadly part again when its refusal has lapsed.

    Given the whole path with 3 daemons
    When a refusal lapses after 3 s, and prompts with its part go on coming for 12 s
    Then at most 4 engines are lost, and the last 6 deadly requests are refused
    And sound requests are served from 1 s after the last loss, and at most 2 are refused as blamed

  Scenario: Half of the engines end by themselves four times, and nothing is refused for it
    Guards against blame of requests that were on several engines which ended together.

    Given the whole path with 3 daemons
    When half of the engines end at once 4 times beside sound requests
    Then at most 1 sound request is refused as blamed, and no later one

  Scenario: A broken attempt on a suspected part is not sent again before its loss is judged
    Guards against a repeat that ends a second engine while the first loss is not known.

    Given the whole path with 1 daemons
    When a deadly part ends an engine, and the proof of its loss takes 0.4 s
    Then no request with the part reaches an engine within those 0.4 s

  Scenario: Calls whose connections are reset are sent again at once where their endpoint lives
    Guards against calls that wait for a loss which did not happen.

    Given the whole path with 1 daemons
    When the connections of 6 look-ups are reset at once, and their endpoints run on
    Then all of them are served within 0.5 s

Feature: The relay passes on whole events and counts them exactly
  However the bytes of a stream are cut into chunks.

  Scenario: Any chunking gives the same count, end and bytes
    Then for any stream and any chunking the relay agrees with the oracle

  Scenario Outline: Streams that the count must get right
    When the chunks <chunks> are relayed
    Then <events> events were counted, the end was whole: <whole>
    And the caller got "<got>"

    Examples:
      | chunks                                     | events | whole | got |
      | data: 1~~ / data: [DONE]~~                 | 1      | yes   | data: 1~~data: [DONE]~~ |
      | data: 1~~data: [DO / NE]~~                 | 1      | yes   | data: 1~~data: [DONE]~~ |
      | da / ta: 1~ / ~data: [DONE]~~              | 1      | yes   | data: 1~~data: [DONE]~~ |
      | data: "data: [DONE]"~~                     | 1      | no    | data: "data: [DONE]"~~ |
      | data: "data: x data: y"~~ / data: [DONE]~~ | 1      | yes   | data: "data: x data: y"~~data: [DONE]~~ |
      | data: 1~~ / data: 2                        | 1      | no    | data: 1~~ |
      | data: 1~~ / data: [DONE]                   | 1      | no    | data: 1~~ |
      | data: 1^~^~ / data: [DONE]^~^~             | 1      | yes   | data: 1^~^~data: [DONE]^~^~ |
      | data: 1^~^ / ~data: [DONE]^~^~             | 1      | yes   | data: 1^~^~data: [DONE]^~^~ |
      | data:1~~ / data:[DONE]~~                   | 1      | yes   | data:1~~data:[DONE]~~ |
      | : ping~~ / data: 1~~ / data: [DONE]~~      | 1      | yes   | : ping~~data: 1~~data: [DONE]~~ |
      | event: token~data: 1~~ / data: [DONE]~~    | 1      | yes   | event: token~data: 1~~data: [DONE]~~ |
      | data: 1~data: 2~~ / data: [DONE]~~         | 1      | yes   | data: 1~data: 2~~data: [DONE]~~ |
      | data: [DONE]~~ / data: 1~~                 | 0      | yes   | data: [DONE]~~ |

  Scenario: An event without an end does not fill the memory
    An endpoint that fails sends a line that never ends. The relay holds what
    is no whole event yet, so its memory would grow until the daemon dies.

    Then an event over the limit breaks the stream

  Scenario Outline: The wait joins tokens that come fast, and never the first
    Given a stream of <events> events, one every <gap> ms
    When it is relayed with a wait of <wait> ms
    Then the caller got <writes> writes, the first after <first> ms
    And no event was held for over <wait> ms

    Examples:
      | events | gap | wait | writes | first |
      | 9      | 5   | 0    | 9      | 5     |
      | 9      | 5   | 20   | 4      | 5     |
      | 9      | 30  | 20   | 9      | 30    |

Feature: Whole answers over connections that break and go silent

  Scenario Outline: A broken stream goes on over a new connection
    During an answer, a device between daemon and engine loses the state of the
    connection or resets it, while the engine keeps streaming. The caller waits for ever,
    or gets half an answer, or the text twice.

    Given a daemon that reaches its engine through a proxy
    When its connections are <broken> in the middle of a stream
    Then the answer ends as "<ended>"
    And the engine ran it once

    Examples:
      | broken                   | ended          |
      | silent                   | whole          |
      | cut                      | whole          |
      | cut and new ones refused | an error event |

  Scenario: An answer that cannot be finished says so
    The engine becomes unreachable. A clean end would make the partial answer look whole.

    Given a daemon that reaches its engine through a proxy
    When its connections are cut and new ones refused in the middle of a stream
    Then the answer ends as "an error event"
    And the error says that it may have run

  Scenario: Connections of the pool that went silent lose no request
    An idle pooled connection is silent when the next request is written to it. The
    request waits for its first token until the timeout; only a new connection shows that
    the engine runs and never received it.

    Given a daemon that reaches its engine through a proxy
    When its idle connections went silent before a streamed request
    Then the answer ends as "whole"
    And the engine ran it once

  Scenario: A caller that disconnects stops its work at the engine
    A caller disconnects during a long answer. If the engine kept streaming, the request
    would occupy a place in the batch and pin its slot.

    Given a daemon that reaches its engine through a proxy
    When the caller disconnects in the middle of a long stream
    Then the answer ends as "left"
    And the engine runs nothing and the slot is free

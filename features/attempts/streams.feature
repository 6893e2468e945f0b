Feature: Whole answers over connections that break and go silent

  Scenario Outline: A broken stream goes on over a new connection
    In the middle of an answer something between daemon and engine loses track
    of the connection, or resets it, while the engine streams on. The caller
    waits for ever, or gets half an answer, or the text twice.

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
    The engine cannot be reached any more. A clean end would make the half
    answer look whole.

    Given a daemon that reaches its engine through a proxy
    When its connections are cut and new ones refused in the middle of a stream
    Then the answer ends as "an error event"
    And the error tells that it may have run

  Scenario: Connections of the pool that went silent lose no request
    The connection stands idle in the pool and is silent when the next request
    is written to it. The request waits for its first token until the bound,
    only a new connection shows that the engine lives and never saw it.

    Given a daemon that reaches its engine through a proxy
    When its idle connections went silent before a streamed request
    Then the answer ends as "whole"
    And the engine ran it once

  Scenario: A caller that goes away stops its work at the engine
    A caller hangs up in the middle of a long answer. Streamed on into nothing,
    it takes a place of the batch and pins its slot.

    Given a daemon that reaches its engine through a proxy
    When the caller goes away in the middle of a long stream
    Then the answer ends as "left"
    And the engine runs nothing and the place is free

Feature: What is read belongs to one attempt

  Scenario Outline: <kind>: <refusal> is answered once more, late, and read by the next attempt
    Guards against a late second refusal that makes a call run twice.

    Given the whole path
    When both endpoints first give a "<kind>" call "<refusal>", and then each answer late once more
    Then the call ends with 200 and has run once

    Examples:
      | kind  | refusal |
      | order | shed    |
      | note  | not yet |

  Scenario Outline: <kind>: an answer that names no call precedes the answer
    Guards against refusals of other requests that make a call run twice.

    Given the whole path
    When connections carry calls, and then a "<kind>" call meets a refusal without an id
    Then the call ends with 502 and has run once

    Examples:
      | kind  |
      | order |
      | note  |

  Scenario: The answer to an order is followed by that of an earlier one
    Guards against orders that count as carried out though the engine rejected them.

    Given the whole path
    When an engine rejects an order and answers earlier orders late once more
    Then no order counts as answered other than the engine answered it

  Scenario: No connection carries two attempts that answers can't tell apart
    Guards against any request whose answer may be that of another on its connection.

    Given the whole path
    When 40 calls come while endpoints refuse every second one
    Then each connection carried an id once, and requests without an id alone

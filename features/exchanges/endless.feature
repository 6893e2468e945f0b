Feature: Endpoints that send bytes without end

  Scenario Outline: <kind>: <what> without end, sent <pace>
    Guards against connections, memory and calls that endless bytes hold.

    Given the whole path
    When an endpoint answers a <kind> by "<what>" without end, sent <pace>
    Then the connection is closed in time and after a bounded size
    And the <kind> is not sent again, and is answered in time
    And other calls are answered in time meanwhile

    Examples: calls that may run once
      | kind | what                       | pace |
      | call | interim answers            | fast |
      | call | interim answers            | slow |
      | call | a status line              | fast |
      | call | header lines               | fast |
      | call | header lines               | slow |
      | call | a header value             | fast |
      | call | a body without length      | fast |
      | call | chunks                     | fast |
      | call | chunks                     | slow |
      | call | a chunk extension          | fast |
      | call | trailers                   | fast |
      | call | bytes past the length      | fast |
      | call | answers to others          | fast |
      | call | an answer to another       | fast |
      | call | an answer to another       | slow |
      | call | a refusal's body           | fast |
      | call | a refusal's body           | slow |

    Examples: streams
      | kind             | what                       | pace |
      | streamed call    | an event                   | fast |
      | streamed call    | an event                   | slow |
      | streamed call    | interim answers            | fast |
      | resumed stream   | events that the caller has | fast |

    Examples: requests of the daemon's own
      | kind   | what                  | pace |
      | order  | interim answers       | fast |
      | order  | header lines          | fast |
      | order  | chunks                | fast |
      | order  | a body without length | slow |
      | order  | bytes past the length | fast |
      | report | interim answers       | fast |
      | report | chunks                | fast |
      | report | a body without length | slow |
      | report | bytes past the length | fast |
      | check  | interim answers       | fast |
      | check  | chunks                | fast |
      | check  | a body without length | slow |
      | check  | bytes past the length | fast |

Feature: Outcomes and retries
  Every attempt ends in one tagged outcome; "not run" only with proof.

  Scenario Outline: What follows an attempt
    If an attempt that may have run is repeated, the caller gets a text or an order twice.
    If one that did not run is not repeated, it gets a needless error. The decision has to
    consider the outcome, the rule and what was delivered.

    Given a <kind> request was dispatched
    When its attempt ends as "<outcome>"
    Then what follows is "<what>"

    Examples:
      | kind                | outcome                  | what              |
      | streamed            | Complete whole           | the end: Complete |
      | streamed            | NotRun connect_failed    | another attempt   |
      | streamed            | Unknown stream_broken 0  | resume at 0       |
      | streamed            | Unknown stream_broken 7  | resume at 7       |
      | streamed            | Unknown silent 7         | resume at 7       |
      | streamed            | Unknown resume_failed 0  | another attempt   |
      | streamed            | Unknown resume_failed 7  | the end: Unknown  |
      | streamed            | Unknown wrong_adapter 0  | another attempt   |
      | unstreamed          | Unknown stream_broken 0  | another attempt   |
      | unstreamed          | Unknown stream_broken 1  | the end: Unknown  |
      | idempotent call     | Unknown endpoint_failed  | another attempt   |
      | idempotent call     | NotRun endpoint_refused  | another attempt   |
      | non-idempotent call | Unknown endpoint_failed  | the end: Unknown  |
      | non-idempotent call | Unknown stream_broken    | the end: Unknown  |
      | non-idempotent call | Unknown silent           | the end: Unknown  |
      | non-idempotent call | NotRun connect_failed    | another attempt   |
      | streamed non-idempotent | Unknown stream_broken 0 | resume at 0    |
      | streamed non-idempotent | Unknown resume_failed 0 | the end: Unknown |

  Scenario: "Not run" is never said of a request of which one attempt may have run
    The first attempt breaks after it was written, and the second cannot connect. Told
    "not run", the caller would assume that nothing happened, although the first attempt
    may have run.

    Given a idempotent call request was dispatched
    When attempt "r1.1" ends as "Unknown stream_broken"
    And attempt "r1.2" ends as "NotRun connect_failed"
    And 31 seconds pass for the core
    Then the request ends as "Unknown stream_broken"

  Scenario: In an outage of every endpoint the retries stay within a tenth
    Given a daemon core whose peer owns two engines
    And 3000 requests arrive while every endpoint refuses connections
    Then at most 1.1 attempts were made a request
    And each was answered at once, and told when to retry

  Scenario: A late reply of an earlier attempt is dropped
    The first attempt is abandoned and another dispatched, and then the end of the first
    arrives. Attributed to the second, it would end the request while the second still
    streams.

    Given a idempotent call request was dispatched
    When attempt "r1.1" ends as "NotRun connect_failed"
    And attempt "r1.1" ends as "Complete whole"
    Then the request has not ended
    When attempt "r1.2" ends as "Complete whole"
    And attempt "r1.2" ends as "Complete whole"
    Then the request ends as "Complete whole"

  Scenario: A late grant is returned
    The owner responds after the request for the grant was abandoned, and the first
    return was lost with its stream. If the grant is not returned again, it pins the slot
    for ever.

    Given a daemon core whose peer owns two engines
    When a streamed request asks for a grant
    And 1.5 seconds pass for the core
    And the grant of the first attempt comes late
    Then the grant of "r1.1" was returned to "host-1"

  Scenario: A late grant is returned although no endpoint holds the adapter
    A slot stays pinned for ever, and its adapter is never evicted. The owner responded
    after the request for the grant was abandoned, the first return was lost with its
    stream, and the request waited for its adapter under the old attempt's id. The late
    grant was attributed to that attempt and not returned.

    Given a daemon core whose peer owns two engines
    When a streamed request asks for a grant
    And no endpoint holds its adapter any more
    And 1.5 seconds pass for the core
    And the grant of the first attempt comes late
    Then the grant of "r1.1" was returned to "host-1"

  Scenario: A grant is returned to the owner that gave it
    The endpoint changes its owner while the answer streams. Returned to the new owner
    alone, a grant of the old one would stay held there. The new owner, which collects
    the grants of the old, would hold it until its next query.

    Given a streamed request was dispatched
    When "host-2" takes over the engines
    And its attempt ends as "Complete whole"
    Then the grant of "r1.1" was returned to "host-2" and "host-1"

  Scenario: A deadline ends a dispatched request at once
    The endpoint streams beyond the caller's deadline, and the slot stays pinned. The
    grant is returned only after the endpoint was told to cancel, as the request runs
    until then.

    Given a streamed request was dispatched
    When 31 seconds pass for the core
    Then the request ends as "Unknown deadline"
    And no grant was returned
    When the endpoint was told to cancel it
    Then the grant of "r1.1" was returned to "host-1"

  Scenario: A caller that disconnects cancels at the engine and frees its slot
    Given a streamed request was dispatched
    When its caller disconnects
    Then no grant was returned
    When the endpoint was told to cancel it
    Then the grant of "r1.1" was returned to "host-1"

Feature: Outcomes and retries
  Every attempt ends in one tagged outcome; "not run" only with proof.

  Scenario Outline: What follows an attempt
    A caller gets a doubled text or a doubled order when an attempt that may
    have run is repeated, and an error for nothing when one that did not run
    is not. The cause is a decision that looks at less than the outcome, the
    rule and what was delivered.

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
    The first attempt breaks after it was written, the second finds the
    endpoint closed. Told "not run", the caller would think that nothing
    happened, though the first may have run.

    Given a idempotent call request was dispatched
    When attempt "r1.1" ends as "Unknown stream_broken"
    And attempt "r1.2" ends as "NotRun connect_failed"
    And 31 seconds pass for the core
    Then the request is told "Unknown stream_broken"

  Scenario: Under an outage of every endpoint the retries stay within a tenth
    Given a daemon core whose peer owns two engines
    And 3000 requests arrive while every endpoint refuses connections
    Then at most 1.1 attempts were made a request
    And each was answered at once, and told when to come back

  Scenario: A late reply of an earlier attempt is dropped
    The first attempt is given up and another dispatched; then the first one's
    end arrives after all. Taken for the second's, it would end the request
    while the second still streams.

    Given a idempotent call request was dispatched
    When attempt "r1.1" ends as "NotRun connect_failed"
    And attempt "r1.1" ends as "Complete whole"
    Then nothing was told yet
    When attempt "r1.2" ends as "Complete whole"
    And attempt "r1.2" ends as "Complete whole"
    Then the request is told "Complete whole"

  Scenario: A grant that comes late goes back
    The owner answers after the question was given up and the first return was
    dropped with its stream. Kept, the grant would pin the slot for ever.

    Given a daemon core whose peer owns two engines
    When a streamed request asks for a grant
    And 1.5 seconds pass for the core
    And the grant of the first attempt comes late
    Then the grant of "r1.1" went back to "host-1"

  Scenario: A grant that comes late goes back though the adapter is held nowhere
    A slot stays pinned for ever, and its adapter is never evicted. The owner's
    answer came after the question was given up, the first return was dropped
    with its stream, and the request waited for its adapter under the old
    attempt's id: the late grant was taken for that attempt's and not returned.

    Given a daemon core whose peer owns two engines
    When a streamed request asks for a grant
    And its adapter is held nowhere any more
    And 1.5 seconds pass for the core
    And the grant of the first attempt comes late
    Then the grant of "r1.1" went back to "host-1"

  Scenario: A grant goes back to the owner that gave it
    The endpoint changes its owner while the answer streams. Returned to the
    new owner alone, the grant of the old one would never be returned; and the
    new one, which collects the grants of the old, would keep it until it asks.

    Given a streamed request was dispatched
    When "host-2" takes over the engines
    And its attempt ends as "Complete whole"
    Then the grant of "r1.1" went back to "host-2" and "host-1"

  Scenario: A deadline ends a dispatched request too, at once
    The endpoint streams on and on. The caller waits past its deadline though
    the answer is worthless, and the slot stays pinned for it. The grant goes
    back only when the endpoint was told to stop: before that it still runs.

    Given a streamed request was dispatched
    When 31 seconds pass for the core
    Then the request is told "Unknown deadline"
    And no grant went back
    When the endpoint was told to cancel it
    Then the grant of "r1.1" went back to "host-1"

  Scenario: A caller that goes away cancels at the engine and gives its place back
    Given a streamed request was dispatched
    When its caller goes away
    Then no grant went back
    When the endpoint was told to cancel it
    Then the grant of "r1.1" went back to "host-1"

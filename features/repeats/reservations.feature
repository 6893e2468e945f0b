Feature: Repeats are reserved in the store before they are sent

  Scenario Outline: Repeats of a host and its next process: <story>
    Guards against processes that spend what their previous one has spent, or get nothing.

    When a host repeats all it may twice within 5 s, and once 12 s later: <story>
    Then it sends <first>, then <second>, then <third>

    Examples:
      | story                                                        | first | second      | third |
      | nothing happens                                              | all   | at most few | all   |
      | it starts again                                              | all   | at most few | all   |
      | the store is away                                            | few   | at most few | few   |
      | the store is silent                                          | few   | at most few | few   |
      | the store is away and returns                                | few   | all         | all   |
      | an answer of the store is lost                               | few   | all         | all   |
      | an answer of the store is lost and it starts again           | few   | part        | all   |
      | it starts again and its record is not readable               | all   | at most few | all   |
      | the store comes back from an older copy                      | all   | at most few | all   |
      | the store comes back from an older copy, and it starts again | all   | at most few | all   |
      | quiet, it starts again                                       | none  | all         | all   |
      | quiet, it starts again in an era of the store of just now    | none  | at most few | all   |
      | quiet, it starts again in an era of the store of long ago    | none  | all         | all   |
      | another process writes its record                            | all   | at most few | all   |

  Scenario: A record that cannot be read is logged
    Guards against repeats that are granted on a record that nobody can read.

    When a host repeats all it may twice within 5 s, and once 12 s later: it starts again and its record is not readable
    Then its log has the line retries.unreadable

  Scenario: Calls are not held up by a store that gives no answers
    Guards against callers who wait for a reservation although the store is away.

    When a store that gives no answers is asked for 100 repeats in 3 s
    Then the calls have waited for 1 s in all at most

  Scenario: Calls that wait for one answer of the store count as one failure
    Guards against a long pause in reservations after a short time without answers.

    When 20 calls wait for a reservation at once that gets no answer in time
    Then repeats are granted again after the pause for one failure

  Scenario: Repeats cost the store few calls
    Guards against a call to the store for each repeat.

    When a host repeats all it may twice within 5 s, and once 12 s later: it starts again
    Then the store was called at most 12 times

  Scenario Outline: The retry budget is shared by <daemons> daemons
    In an outage each call was sent three times; the endpoints that were left failed
    under it.

    When <daemons> daemons with <requests> requests each repeat all they may
    Then at most <most> repeats are sent in all

    Examples:
      | daemons | requests | most |
      | 1       | 100      | 74   |
      | 7       | 10       | 68   |
      | 9       | 0        | 54   |

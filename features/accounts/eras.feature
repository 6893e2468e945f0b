Feature: A store that comes back from an older copy
  What was written since the copy is gone, leases too, and revisions are given out again.

  Scenario: Engines keep one owner, and numbers of orders only rise
    The store was back after a moment, from a copy some seconds old. Owners went on under
    leases that it no longer knew, while others claimed their engines under lower numbers
    than the engines had seen. Daemons compared revisions of before with those given out
    again, and took the new for old.

    Given the whole path with 3 daemons
    When the store comes back from a copy of before its daemons, and drafts go on
    Then drafts were answered through it and after it
    And no engine was ordered by two daemons at a time, nor under a lower number
    And each engine has one owner that is listed

  Scenario: What the operator wrote since the copy stays in force until it is there again
    A version of the configuration was in force when the store lost it. A daemon that went
    back to the one before refused calls of a route that its callers had used.

    Given the whole path with 3 daemons
    When a configuration names a new route, and the store comes back from before it
    Then calls of the new route are answered all along
    And the next configuration is in force within 2 s on all, though its revision is old

  Scenario: An endpoint that was heard to be leaving stays so
    An endpoint's word that it leaves was lost with the copy. Calls went there again, and
    were cut when it ended.

    Given the whole path
    When an endpoint leaves, and the store comes back from before that
    Then it gets no call in the next 2 s

  Scenario: A change that got no answer does not hold for the next era
    A daemon's claim was to replace a record of a revision that the store gave out again
    for another's.

    Given the whole path
    When the store comes back, and writes another's record under the revision of ours
    Then ours is not replaced by a transaction that compares the revision of before

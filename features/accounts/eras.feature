Feature: A store that is restored from an older copy
  Writes since the copy are lost, as are leases, and revisions are used again.

  Scenario: Engines keep one owner, and fencing numbers only rise
    Guards against owners that go on under leases lost by a store restored from a copy a
    few seconds old, while others claim their engines under lower fencing numbers than the
    engines have seen; and against daemons that compare revisions of before with those
    used again, and take new records for old ones.

    Given the whole path with 3 daemons
    When the store is restored from a copy older than its daemons, and drafts go on
    Then drafts were answered during and after the restore
    And no engine was ordered by two daemons at a time, nor under a lower fencing number
    And each engine has one owner that is listed

  Scenario: A configuration lost by the store stays in force until it is written again
    Guards against a daemon that goes back to the previous configuration when the store
    loses the current one, and refuses calls of a route that its callers have used.

    Given the whole path with 3 daemons
    When a configuration adds a route, and the store is restored from before it
    Then calls of the new route are always answered
    And the next configuration is in force within 2 s on all, though its revision is old

  Scenario: An endpoint known to be draining stays so
    Guards against calls to an endpoint whose draining entry was lost by the restore; they
    break when it ends.

    Given the whole path
    When an endpoint drains, and the store is restored from before that
    Then it gets no call in the next 2 s

  Scenario: A revision of the previous era does not match one of the next
    Guards against a transaction that replaces another daemon's record because the store
    used its revision again.

    Given the whole path
    When the store is restored, and writes another's record under the revision of ours
    Then ours is not replaced by a transaction that compares the revision of before

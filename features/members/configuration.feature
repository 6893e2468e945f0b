Feature: The active configuration never goes back to an older generation

  Scenario Outline: The outcome of a write is determined if its response is lost
    # The write takes effect but its response is lost, or the write is lost, or it
    # arrives after the operator's daemon checked for it. If the wrong outcome is
    # reported, the operator applies a change twice or not at all.
    Given generation 1 is accepted
    When the next write is <fault> and an operator applies another folder
    Then the operator's response says that generation 2 was accepted
    And the key-value service holds that folder as generation 2

    Examples:
      | fault                                         |
      | carried out, not answered                     |
      | neither carried out nor answered              |
      | not answered, carried out after the next read |

  Scenario Outline: Of two concurrent writes one reports a conflict
    # Both are based on generation 1. The second root is written between the read and
    # the write of the first, and the first response is lost. If contents were
    # compared, both operators would see equal folders as accepted.
    Given generation 1 is accepted
    When two operators apply <folders> at the same time and the loser's responses are lost
    Then one response says that generation 2 was accepted and the other reports a conflict

    Examples:
      | folders           |
      | different folders |
      | equal folders     |

  Scenario: A damaged part is not activated
    # A restore of the key-value service mixed up values. Without verification an
    # application would run on another adapter.
    Given generation 1 is accepted
    When a part in the key-value service has the wrong content
    Then reading the configuration fails with an error that names the part

  Scenario: Parts are deleted once no retained generation refers to them
    # Each change leaves the replaced part behind. Parts that are never collected fill
    # the key-value service; a part collected too soon is missing for a slow reader.
    Given generation 1 is accepted
    When 200 more generations change one adapter each
    Then every retained generation can still be read completely
    And every part in the key-value service belongs to a retained generation

  Scenario: Reading an earlier generation during a write does not mix contents
    # An operator rolls back. Another operator's change is accepted between the read of
    # the records and the read of the root. If the records were undone from that root,
    # the earlier contents would include the latest change.
    Given generation 1 is accepted
    When 3 more generations change one adapter each
    And generation 2 is read while generation 5 is accepted
    Then the contents are those of generation 2

  Scenario: A part that is in use again is not collected
    # A folder returns to an old state when its old parts are due for collection.
    Given generation 1 is accepted
    When 64 more generations change one adapter each
    And the first folder is applied again 3 times, alternating with another
    Then every retained generation can still be read completely

  Scenario Outline: A folder applied right after the start of a daemon waits for its peers
    # For the first two seconds after its start a daemon does not know what its peers
    # hold. It refused a folder that was applied in that time.
    Given a daemon without contact whose peers <answer>
    When it waits for contact
    Then the folder is <taken>

    Examples:
      | answer       | taken   |
      | answer soon  | taken   |
      | never answer | refused |

  Scenario: A key-value service restored to an older state is reported and superseded
    # The key-value service is restored from an old backup, whose root has a lower
    # generation. A write based on it would reuse a generation for other contents.
    Given generations 1 to 9 are accepted and a daemon holds the latest
    When the key-value service is restored with generation 5
    And the daemon reads the key-value service
    Then the daemon still holds generation 9 and its contents
    And the timeline records that the key-value service is older
    When an operator applies a folder through the daemon
    Then the operator's response says that generation 10 was accepted

  Scenario Outline: A change reaches every daemon with few reads of the key-value service
    Given a pool of <daemons> daemons that agree
    And generation 1 of <sections> adapters is active
    When one adapter changes
    Then within <limit> s it is active on every daemon
    And at most <reads> daemons read the key-value service

    Examples:
      | daemons | sections | limit | reads |
      | 1       | 50       | 1     | 1     |
      | 8       | 300      | 1     | 6     |
      | 70      | 300      | 1     | 6     |

  Scenario: A daemon that starts while the key-value service is down uses its peers
    # A host is replaced during an outage. Without a configuration it refuses every
    # request; with an old one it would restore what had been removed.
    Given a pool of 8 daemons that agree
    And generation 1 of 300 adapters is active
    When the key-value service is down and "host-3" is replaced
    Then within 5 s it is active on every daemon
    And "host-3" reports that a peer sent it and that the key-value service was never reached

  Scenario: Failed watchers are replaced
    # Both watchers of a data centre fail. Without new ones no daemon would notice a
    # change.
    Given a pool of 12 daemons that agree
    And generation 1 of 50 adapters is active
    When all watchers lose power
    And 8 s pass
    And one adapter changes
    Then within 1 s it is active on every daemon

  Scenario: A partition without the key-value service catches up once it heals
    # Two data centres are disconnected for a minute, one also from the key-value service.
    Given a pool of 9 daemons that agree
    And generation 1 of 50 adapters is active
    When 3 daemons are cut off from the others and from the key-value service for 60 s, and 3 changes follow
    Then within 12 s it is active on every daemon
    And no daemon ever went back to a lower generation

  Scenario: A daemon far behind fetches parts, one slightly behind fetches sections
    Given a pool of 8 daemons that agree
    And generation 1 of 300 adapters is active
    When "host-3" is paused for 10 s and 40 changes follow
    Then within 8 s it is active on every daemon
    When one adapter changes
    Then within 1 s it is active on every daemon
    And peers send less than 2000 bytes per daemon for the next change

  Scenario Outline: Applying a change gives the same result as rebuilding
    When <kind> is added, changed or removed in a built configuration
    Then all look-ups equal those of a rebuilt configuration and the older one is unchanged

    Examples:
      | kind        |
      | a team      |
      | a key       |
      | an adapter  |
      | a version   |
      | an endpoint |
      | the limit   |
      | a route     |

  Scenario: No sequence of faults leads to an older or mixed configuration
    # Hypothesis generates operators' changes, outages, lost and late writes, restores,
    # restarts, partitions and slow readers in any order.
    When 60 generated histories of the configuration are run
    Then no daemon ever held a lower generation or contents not accepted for its generation

  Scenario: A delta is not applied to a newer generation than its base
    A daemon requests the changes since generation 1 from a peer, then reads generation
    2 from the key-value service. The peer's changes arrive last. They lead from 1 to 3,
    which undoes 2. Without the comparison of the base they would be applied to 2, so
    that callers of one adapter get the model of an undone generation.
    When a delta reaches a daemon that has since activated a newer generation
    Then no daemon holds mixed contents

Feature: One configuration in force, never an older one

  Scenario Outline: A write whose answer is lost is settled
    # An operator applies; the service carries the write out and the answer is
    # lost, or it is lost itself, or it arrives after the operator's daemon
    # looked whether it did. Told the wrong thing, the operator applies twice or
    # leaves a change out.
    Given generation 1 is accepted
    When the next write is <fate> and an operator applies another folder
    Then the operator is told that generation 2 was accepted
    And the service holds that folder as generation 2

    Examples:
      | fate                                        |
      | carried out, not answered                   |
      | neither carried out nor answered            |
      | not answered, carried out after the next read |

  Scenario Outline: Of two operators who race one is told of the other
    # Both saw generation 1. The second's root arrives between the first's look
    # and write, and the first's answer is lost. With contents compared, equal
    # folders would let both believe that theirs was accepted.
    Given generation 1 is accepted
    When two operators apply <folders> at once and the loser's answers are lost
    Then one is told that generation 2 was accepted and the other of a conflict

    Examples:
      | folders           |
      | different folders |
      | equal folders     |

  Scenario: A damaged part is not put in force
    # A restore of the service mixed up values. Taken unseen, an application
    # would run on another adapter.
    Given generation 1 is accepted
    When a part in the service holds other content
    Then reading the configuration fails and names the part

  Scenario: Old parts go once no kept generation names them
    # Each change leaves the replaced part behind. Never collected, they fill
    # the service; collected too soon, a slow reader finds a hole.
    Given generation 1 is accepted
    When 200 further generations change one adapter each
    Then every kept generation can still be read whole
    And the service holds no part that no kept generation names

  Scenario: An earlier generation read while another is accepted is not mixed
    # An operator rolls back. Between the look at the records and the look at the
    # root another operator's change is accepted; undone from that root by those
    # records, the earlier contents would keep the newest change.
    Given generation 1 is accepted
    When 3 further generations change one adapter each
    And generation 2 is read while generation 5 is accepted
    Then the contents are those of generation 2

  Scenario: A part that comes back into use is not collected
    # A folder goes back to an old state just as its old parts fall due.
    Given generation 1 is accepted
    When 64 further generations change one adapter each
    And the first folder is applied again 3 times in turn with another
    Then every kept generation can still be read whole

  Scenario Outline: A folder applied right after a daemon's start waits for its peers
    # Daemons are started and a folder is applied at once. For its first two
    # seconds a daemon does not know what its peers hold, and refused the folder.
    Given a daemon that is unsure, and whose peers <answer>
    When it waits for contact
    Then the folder is <taken>

    Examples:
      | answer           | taken   |
      | answer presently | taken   |
      | never answer     | refused |

  Scenario: A service that came back older is reported and outbid
    # The service is restored from an old copy. Its root has a lower number; a
    # write on top of it would reuse a number that daemons know otherwise.
    Given generations 1 to 9 are accepted, and a daemon holds the newest
    When the service comes back with generation 5
    And the daemon reads the service
    Then the daemon still holds generation 9 and its contents
    And the time line says that the service is older
    When an operator applies a folder through the daemon
    Then the operator is told that generation 10 was accepted

  Scenario Outline: A change reaches every daemon, by few reads of the service
    Given a pool of <daemons> daemons that agree
    And generation 1 of <sections> adapters is in force
    When one adapter changes
    Then within <limit> s it is in force everywhere
    And at most <reads> daemons read the service

    Examples:
      | daemons | sections | limit | reads |
      | 1       | 50       | 1     | 1     |
      | 8       | 300      | 1     | 6     |
      | 70      | 300      | 1     | 6     |

  Scenario: A daemon that starts while the service is down takes what its peers hold
    # A host is replaced in an outage. Without a configuration it refuses every
    # request; with an old one it would bring back what was withdrawn.
    Given a pool of 8 daemons that agree
    And generation 1 of 300 adapters is in force
    When the service is down and "host-3" is replaced
    Then within 5 s it is in force everywhere
    And "host-3" says that it has it from a peer and never reached the service

  Scenario: Watchers that are gone are replaced
    # Both daemons that watch for a data centre end. Nobody else would hear of a
    # change.
    Given a pool of 12 daemons that agree
    And generation 1 of 50 adapters is in force
    When all daemons that watch lose their power
    And 8 s pass
    And one adapter changes
    Then within 1 s it is in force everywhere

  Scenario: A side cut from the service and the others catches up when it is healed
    # Two data centres lose each other for a minute, and one of them the service.
    Given a pool of 9 daemons that agree
    And generation 1 of 50 adapters is in force
    When 3 daemons are cut from the others and from the service for 60 s, and 3 changes come
    Then within 12 s it is in force everywhere
    And no daemon ever held a lower generation after a higher one

  Scenario: A daemon far behind takes parts, one just behind takes sections
    Given a pool of 8 daemons that agree
    And generation 1 of 300 adapters is in force
    When "host-3" is paused for 10 s and 40 changes come
    Then within 8 s it is in force everywhere
    When one adapter changes
    Then within 1 s it is in force everywhere
    And peers sent under 2000 bytes for it to each daemon

  Scenario Outline: Taking a change over gives what building anew gives
    When <kind> changes, is added or removed in a built configuration
    Then all look-ups are as if it were built anew, and the older one is as it was

    Examples:
      | kind         |
      | a team       |
      | a key        |
      | an adapter   |
      | a version    |
      | an endpoint  |
      | the limit    |
      | a route      |

  Scenario: No sequence of faults brings an older or a mixed configuration
    # Operators, outages, lost and late writes, restores, restarts, partitions
    # and slow readers in any order, found by hypothesis.
    When sixty histories of the configuration are tried
    Then no daemon ever held a lower generation, or contents not accepted under it

  Scenario: A delta that comes after a newer generation is not taken on it
    Users of one adapter would get the model of a generation that was undone. A
    daemon asks a peer for the changes since 1, then reads 2 from the service;
    the peer's changes lead from 1 to 3, which undoes 2, and come last. They were
    taken on 2: the comparison of the base was left out.
    When a delta comes to a daemon that went on meanwhile
    Then no daemon holds mixed contents

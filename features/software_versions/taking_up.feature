Feature: A stream that its caller takes up goes on only at the software version that began it

  Scenario Outline: A stream goes on at its version over <tries> tries, as <how>
    Guards against streams joined from two versions as the host that knew the first is gone.

    Given the whole path with 3 daemons, and two engines of v1 and of v2
    When streams are tried at <tries> hosts, as at each <how>
    Then no stream holds events of two versions
    And no event is missing or comes twice
    And at least half of the streams that were taken up go on

    Examples:
      | tries | how                                              |
      | 2     | its host is killed                               |
      | 2     | its host is killed just after its first event    |
      | 2     | its caller breaks off                            |
      | 2     | its caller breaks off just after its first event |
      | 3     | its host is killed                               |
      | 3     | its caller breaks off                            |

  Scenario Outline: A stream goes on at its version when it is taken up at <place>
    Guards against streams joined at hosts that were not there, or not linked, as they began.

    Given the whole path with 3 daemons, and two engines of v1 and of v2
    When streams break off and are taken up at <place>
    Then no stream holds events of two versions
    And no event is missing or comes twice
    And at least half of the streams that were taken up go on

    Examples:
      | place                                         |
      | a host restarted meanwhile                    |
      | its own host, restarted meanwhile             |
      | a host restarted before its own is killed     |
      | a host without links to engines               |
      | another host than its own, which has no links |
      | a host that started later                     |
      | a host that started before its own is killed  |

  Scenario Outline: A host cut off from the store <when> joins no streams once <end>
    Guards against streams joined at a host that does not know which versions serve.

    Given the whole path with 3 daemons
    When a host is cut off from the store <when>, and streams of another host are taken up there once <end>
    Then no stream holds events of two versions
    And no event is missing or comes twice

    Examples:
      | when             | end                  |
      | before v2 starts | they break off       |
      | before v2 starts | their host is killed |
      | after v2 started | they break off       |
      | after v2 started | their host is killed |

  Scenario: Streams of a host that does not know of the second version are not joined
    Guards against hosts that record nothing of streams as they know of one version alone.

    Given the whole path with 3 daemons
    When streams begin at a host that is cut off from the store before v2 starts
    Then no stream holds events of two versions
    And no event is missing or comes twice

  Scenario: Streams that began before a second version started go on at the first
    Guards against streams of which nothing was recorded, as one version served alone.

    Given the whole path with 3 daemons
    When streams of v1 break off, two engines of v2 start, and the streams are taken up
    Then no stream holds events of two versions
    And no event is missing or comes twice
    And at least half of the streams that were taken up go on

  Scenario Outline: A stream whose version is gone is refused at once: all engines of <version> <end>
    Guards against streams that are joined, or wait in vain, as their version has no server.

    Given the whole path with 3 daemons
    When streams of <version> break off, its engines <end>, and the streams are taken up
    Then each take-up is refused with 503 within 1 s, and no endpoint ran it

    Examples:
      | version | end   |
      | v1      | crash |
      | v1      | leave |
      | v1      | drain |
      | v2      | crash |

  Scenario Outline: A stream whose version cannot be told is refused at once: its caller <names>
    Guards against streams joined by chance, as nobody knows which version began them.

    Given the whole path with 3 daemons, and two engines of v1 and of v2
    When streams break off, and a caller that takes them up <names> as their first try
    Then each take-up is refused with 503 within 1 s, and no endpoint ran it

    Examples:
      | names                        |
      | names none                   |
      | names one that no host knows |

  Scenario Outline: Where one version serves, streams go on at any engine: their caller <names>
    Guards against refused streams where no second version could be joined.

    Given the whole path with 3 daemons
    When streams break off where v1 alone serves, and a caller takes them up, which <names>
    Then no event is missing or comes twice
    And all streams that were taken up go on to their end

    Examples:
      | names               |
      | names the first try |
      | names no first try  |

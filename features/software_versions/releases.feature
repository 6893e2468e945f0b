Feature: Streams keep to their software version while versions come and go

  Scenario Outline: A release joins no streams: v2 replaces v1, <then>
    Guards against streams joined while servers of two versions start and leave.

    Given the whole path with 3 daemons
    When v2 replaces v1 one engine at a time while streams run, <then>
    Then no stream holds events of two versions
    And no event is missing or comes twice
    And at least 12 streams were taken up, and half of all are whole

    Examples:
      | then                     |
      | and stays                |
      | and v1 replaces v2 again |

  Scenario: Streams that are taken up go on about as often as new ones begin
    Guards against streams given up for safety while two servers of their version serve.

    Given the whole path with 3 daemons, and two engines of v1 and of v2
    When streams break off and are taken up while others begin
    Then no stream holds events of two versions
    And no event is missing or comes twice
    And the share of them that goes on is at least half of the share that begins

  Scenario: Hosts tell each other nothing of streams while one version serves
    Guards against messages for each stream where no stream can be joined.

    Given the whole path with 3 daemons
    When streams run to their end on three hosts
    Then hosts have told each other nothing of the streams

  Scenario: Hosts tell each other which version began a stream while two serve
    Guards against a stream whose version nobody knows once its host is gone.

    Given the whole path with 3 daemons, and two engines of v1 and of v2
    When streams run to their end on three hosts
    Then hosts have told each other something of the streams

  Scenario: A host that has missed the record of a version reads it, and begins streams there
    Guards against hosts that begin no stream as a relay of an earlier protocol drops the record.

    Given the whole path with 3 daemons
    When v2 replaces v1, and a host that writes no record has missed that of v2
    Then streams begin at that host within 8 s, at v2

Feature: What decides at which software version a stream goes on

  Scenario Outline: The answers of keepers decide: <story>
    Guards against a guess at a version where another one may have begun the stream.

    Given a host that knows the versions "<known>", its view is <view>
    When its keepers answer "<answers>"
    Then the stream goes on at "<version>", decided: <decided>

    Examples:
      | story                                | known | view    | answers                    | version | decided |
      | a keeper knows it                    | v1,v2 | current | v2;none;none               | v2      | yes     |
      | the first that knows it is enough    | v1,v2 | stale   | v1                         | v1      | yes     |
      | no keeper knows it                   | v1,v2 | current | none;none;none             |         | yes     |
      | one version, nobody answers          | v1    | current |                            | v1      | no      |
      | one version, a stale view, no answer | v1    | stale   |                            |         | no      |
      | one version, stale views             | v1    | stale   | none/v1/stale              |         | no      |
      | one version, a keeper is current     | v1    | stale   | none/v1/current            | v1      | no      |
      | a keeper knows another version       | v1    | current | none/v1,v2/current         |         | no      |
      | a stale keeper knows another version | v1    | current | none/v2/stale              |         | no      |
      | no version is known                  |       | current | none//current              |         | no      |
      | a keeper knows the only version      |       | current | none/v1/current            | v1      | no      |
      | all answer, one version              | v1    | current | none/v1;none/v1;none/v1    | v1      | yes     |

  Scenario Outline: Only streams are resumed: <kind>
    Guards against requests refused for a version that their response does not depend on.

    When a request of a route of the kind <kind> names the last event that its caller has
    Then it counts as resumed: <resumed>

    Examples:
      | kind           | resumed |
      | stream         | yes     |
      | idempotent     | no      |
      | non_idempotent | no      |

  Scenario: Another host's answer, or a second one of the same, counts nothing
    Guards against a question that takes a late answer for one of its keepers.

    Given a host that knows the versions "v1,v2", its view is current
    When "stranger" answers that it began at v1
    Then the stream goes on at "", decided: no

  Scenario Outline: A stream has a keeper in each data centre: <hosts> hosts in <data_centres>
    Guards against origins that are lost with one data centre or one host.

    Given <hosts> hosts that may keep origins, in <data_centres> data centres
    Then each stream has <keepers> keepers, in as many data centres as there are
    And no host keeps more than <over> times its share of 3000 streams
    And where a host goes, only the streams that it kept have another keeper

    Examples:
      | hosts | data_centres | keepers | over |
      | 9     | 3            | 3       | 1.3  |
      | 79    | 3            | 3       | 1.6  |
      | 8     | 2            | 3       | 1.6  |
      | 4     | 1            | 3       | 1.3  |
      | 2     | 2            | 2       | 1.1  |

  Scenario: A table of origins has a bound
    Guards against memory that grows with the streams of a long release.

    When the origins of 100100 streams are recorded that last 60 s
    Then the table holds 100000 streams, and not the oldest

  Scenario Outline: A table forgets streams that are over: <story>
    Guards against origins that stay after their callers have gone.

    When the origins of 100 streams are recorded that last 10 s
    And one more is recorded <after> s later
    Then the table holds <kept> streams

    Examples:
      | story                 | after | kept |
      | they may be taken up  | 6     | 101  |
      | they are over         | 11    | 1    |

  Scenario Outline: What is known of a stream's origin stays: <story>
    Guards against a later word of another version that takes the place of the first.

    When a stream's origin is recorded at v1 until 10 s, and at v2 until <until> s
    Then it began at v1, and is over at <over> s

    Examples:
      | story                | until | over |
      | the later one is old | 5     | 10   |
      | the later one is new | 20    | 20   |

  Scenario Outline: A version counts while streams of it may go on: <story>
    Guards against a version that is forgotten while callers still take up its streams.

    Given endpoints of a service at the versions "<listed>"
    When those of "<gone>" go, and <after> s pass
    Then streams may have begun on "<versions>"

    Examples:
      | story                      | listed   | gone  | after | versions |
      | all are listed             | v1,v2    |       | 0     | v1,v2    |
      | one of two endpoints goes  | v1,v1,v2 | v1    | 100   | v1,v2    |
      | the last one went just now | v1,v2    | v1    | 59    | v1,v2    |
      | the last one went long ago | v1,v2    | v1    | 61    | v2       |
      | all went just now          | v1,v2    | v1,v2 | 59    | v1,v2    |
      | all went long ago          | v1,v2    | v1,v2 | 61    |          |

  Scenario Outline: An endpoint that starts again counts once: <story>
    Guards against counts that no endpoint stands for.

    Given an endpoint that is listed at "v1"
    When it starts again at "<software>", and <after> s pass
    Then streams of its service may have begun on "<versions>"

    Examples:
      | story                           | software | after | versions |
      | at the same version             | v1       | 0     | v1       |
      | at another version, just now    | v2       | 1     | v1,v2    |
      | at another version, long ago    | v2       | 61    | v2       |

  Scenario Outline: Daemons of protocol <protocol> get <message>: <gets>
    Guards against messages that a daemon that is being upgraded cannot read.

    Then a daemon of protocol <protocol> understands <message>: <gets>

    Examples:
      | protocol | message         | gets |
      | 1        | OriginsRecorded | no   |
      | 2        | OriginsRecorded | no   |
      | 2        | OriginAsked     | no   |
      | 2        | OriginAnswered  | no   |
      | 3        | OriginsRecorded | yes  |
      | 3        | OriginAsked     | yes  |
      | 3        | OriginAnswered  | yes  |

  Scenario Outline: Streams begin only on recorded versions: <story>
    Guards against versions that a host which starts later cannot know.

    Given endpoints of a service at the versions "<listed>"
    And the store's record of it has "<recorded>", complete in era <era>
    Then streams begin on "<begin>", and have begun on "<begun>" in era 1

    Examples:
      | story                             | listed | recorded | era | begin | begun |
      | there is no record                | v1     |          |     |       |       |
      | the only version is recorded      | v1     | v1       | 1   | v1    | v1    |
      | a second one is not recorded yet  | v1,v2  | v1       | 1   | v1    | v1    |
      | both are recorded                 | v1,v2  | v1,v2    | 1   | v1,v2 | v1,v2 |
      | the first one has left            | v2     | v1,v2    | 1   | v1,v2 | v1,v2 |
      | the record is of an earlier era   | v1     | v1       | 0   | v1    |       |
      | the record may lack a version     | v1     | v1       |     | v1    |       |

  Scenario Outline: What the store should hold of a service's versions: <story>
    Guards against records that lose a version, or never lose one.

    Given endpoints of a service at the versions "<listed>"
    And the store's record of it has "<recorded>", complete in era <era>
    When <after> s pass, and a host that <knows> writes in era 1
    Then it writes "<written>", complete in era <in era>

    Examples:
      | story                                | listed | recorded | era | after | knows              | written  | in era |
      | nothing is recorded yet              | v1     |          |     | 0     | knows all versions | v1       | 1      |
      | nothing is recorded after a loss     | v1     |          |     | 0     | has just started   | v1       |        |
      | nothing has changed                  | v1     | v1       | 1   | 100   | knows all versions |          |        |
      | a version starts                     | v1,v2  | v1       | 1   | 0     | knows all versions | v1,v2    | 1      |
      | a version has left just now          | v2     | v1,v2    | 1   | 59    | knows all versions |          |        |
      | a version has left long ago          | v2     | v1,v2    | 1   | 61    | knows all versions | v2       | 1      |
      | no endpoint is listed                |        | v1       | 1   | 61    | knows all versions |          |        |
      | the store came back older            | v1,v2  | v1       | 0   | 0     | knows all versions | v1,v2    | 1      |
      | the same, and nobody knows           | v1,v2  | v1       | 0   | 0     | has just started   | v1,v2    | 0      |
      | the same, where nothing is to change | v1     | v1       | 0   | 0     | has just started   |          |        |

  Scenario: A host that was cut off counts the time of versions anew
    Guards against a version that is removed from the record as a host missed its endpoints.

    Given endpoints of a service at the versions "v2"
    And the store's record of it has "v1,v2", complete in era 1
    When the host is cut off until 50 s
    And 61 s pass, and a host that knows all versions writes in era 1
    Then it writes "", complete in era none

  Scenario: A host knows of versions only from when it has read the store
    Guards against a host that counts the time in which the store gave no answer as known.

    When a host starts, and the store answers it after 20 s
    Then it has followed the store for 0 s until then, and for 5 s at 25 s

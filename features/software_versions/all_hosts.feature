Feature: Streams keep to their software version after all hosts were lost

  Scenario Outline: A stream goes on at its version after all hosts were killed, <when>
    Guards against streams that nobody resumes as all hosts that knew their version are lost.

    Given the whole path with 3 daemons, and two engines of v1 and of v2
    When all hosts are killed <when>, and streams are taken up once they are back
    Then no stream holds events of two versions
    And no event is missing or comes twice
    And at least half of the streams that were taken up go on

    Examples:
      | when                      |
      | once                      |
      | twice in a row            |
      | one after the other       |

  Scenario Outline: No stream is joined after all hosts were killed: <story>
    Guards against a missing record of versions taken for proof that one version serves.

    Given the whole path with 3 daemons
    When v2 replaces v1, all hosts are killed while <story>, and streams of v1 are taken up
    Then no stream holds events of two versions
    And each take-up is refused with 503 within 1 s, and no endpoint ran it

    Examples:
      | story                                                  |
      | the record of versions stands                          |
      | the store has taken no write since v2 started          |
      | the store comes back as it was before v2 started       |

  Scenario: A stream whose version no store holds is refused at once after all hosts were killed
    Guards against callers that wait for answers which nobody can give.

    Given the whole path with 3 daemons, and two engines of v1 and of v2
    When all hosts are killed, the store has lost the origins, and streams are taken up
    Then no stream holds events of two versions
    And each take-up is refused with 503 within 0.3 s

Feature: One time line over all processes
  Events of all hosts merge in the order of cause and effect, and one request's
  way can be followed from the caller's daemon to the engine and back.

  Scenario: A request's way from the caller's daemon to the owner, the engine and back
    Given the example folder is in force
    When a caller asks for "refill-5@1" through a host that does not own its engine
    And the administrator runs "timeline --request {request}"
    Then it ends with 0 and prints these events in order
      | event               |
      | request.arrived     |
      | load.wanted         |
      | load.placed         |
      | load.ordered        |
      | load.ended          |
      | grant.asked         |
      | grant.given         |
      | attempt.dispatched  |
      | attempt.first_token |
      | attempt.ended       |
      | request.finished    |
    And the grant was asked by one host and given by another
    When the administrator runs "timeline --request {request} --json"
    Then the events in JSON are sorted by their stamps
    When the administrator runs "timeline --request {request} --svg {scratch}/a.svg --html {scratch}/a.html"
    Then the picture has a lane for each host and the engine, and an arrow for each message

  Scenario Outline: Filters of the time line
    Given the example folder is in force
    When a caller asks for "refill-6@1" through host 0
    And the administrator runs "timeline <filter> --limit 1000 --json"
    Then every event of the JSON has <what>

    Examples:
      | filter                         | what                       |
      | --adapter refill-6             | model refill-6@1           |
      | --adapter refill-6@1           | model refill-6@1           |
      | --endpoint draft-0             | endpoint draft-0           |
      | --since 1970-01-02 --adapter refill-6 | model refill-6@1    |

  Scenario Outline: A filter that is wrong or finds nothing
    Given the example folder is in force
    When the administrator runs "timeline <filter>"
    Then it ends with <code> and complains
      """
      <message>
      """

    Examples:
      | filter                 | code | message                                                  |
      | --request 5f0c         | 7    | no host holds an event of request 5f0c                   |
      | --since yesterday      | 64   | --since: 'yesterday': allowed: as 30s, 5m, 2h or 1d ago  |

  Scenario: The operator sees what is too old, and a host that is silent
    Given the example folder is in force
    When the administrator runs "timeline --until 1970-01-02"
    Then it ends with 0 and prints
      """
      no event
      """

  Scenario: Hosts whose clocks differ still show causes before effects
    The owner's clock is seconds behind the caller's daemon. Merged by the wall
    clock alone the grant stood before the question, and the way of a request
    read backwards.
    Each batch of messages carries the sender's clock.

    When messages cross between 4 hosts whose wall clocks differ by up to 5 seconds
    Then in every history each message is stamped after its sending

  Scenario: A host whose clock is far ahead takes no other along
    When a stamp from 11 minutes ahead is heard
    Then the next event is stamped by the host's own wall clock

  Scenario Outline: What is no stamp is a message
    When the peer value <value> is heard
    Then it is <taken> as a stamp

    Examples:
      | value                | taken     |
      | [1, 2]               | taken     |
      | ["Heartbeat", 2]     | not taken |
      | [1, 2, 3]            | not taken |
      | ["GrantGiven"]       | not taken |

Feature: Logs tell of changes of state, metrics of all else
  Counters come first; a line is written only for a change of state.

  Scenario: A served request leaves no log line, a change of state does
    Given the example folder is in force
    When a caller asks for "refill-7@1" through host 1
    Then the log holds lines of
      | kind                   |
      | daemon.started         |
      | peer.linked            |
      | owner.claimed          |
      | configuration.accepted |
      | configuration.in_force |
    And no log line is of a request

  Scenario Outline: The level chooses what is written
    When the events "peer.linked", "platform.lost" and "grant.given" are taken at level "<level>"
    Then the written lines are "<lines>"

    Examples:
      | level | lines                                  |
      | error | platform.lost                          |
      | info  | peer.linked, platform.lost             |
      | debug | peer.linked, platform.lost, grant.given |

  Scenario: A request's lines of all hosts are one eliot task
    When two hosts log events of attempt "5f0c.2" at level "debug"
    Then both lines carry the task "5f0c"
    And an endpoint can continue the attempt as eliot task "5f0c@/1/2"

  Scenario: A part of the platform is told lost once, and regained once
    When the key-value service fails 3 times and answers 2 times
    Then the time line holds "platform.lost, platform.regained"

  Scenario Outline: Timers come from pairs of events
    When the events "<events>" pass, 10 ms apart
    Then the timers sent are "<timers>"
    And no request is kept by the timers

    Examples:
      | events                                                                               | timers                                                            |
      | request.arrived, attempt.dispatched, attempt.first_token, request.finished           | request.duration 30, request.first_token 20, request.dispatch_wait 10 |
      | request.arrived, request.finished                                                    | request.duration 10                                               |
      | load.ordered, load.ended                                                             | order.load 10                                                     |
      | grant.given, attempt.dispatched                                                      |                                                                   |

  Scenario: Log lines go to a file that the settings name
    When lines are sent to a file
    Then the file holds them as JSON
    And a file that cannot be opened is a clear error

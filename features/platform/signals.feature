Feature: Signals to a daemon that stops
  The daemon is a process of its own; store and endpoints are stand-ins.

  Scenario Outline: A stopping daemon cuts nothing, whatever signal comes next: <signal>
    Twenty callers' drafts broke off in the middle. Their host had been asked to stop, and
    a second later its settings changed: the daemon, which listened for signals only until
    the first one to stop, was ended by the next. Evidence: its log ends without
    daemon.stopped, 1.05 s after daemon.draining, at the moment of the hangup signal.

    Given a daemon in a process of its own, and a draft of 2 s
    When it is asked to stop in the middle of the draft, and then gets <signal>
    Then the caller has all ten events
    And the daemon ends by itself, without an error

    Examples:
      | signal  |
      | nothing |
      | SIGHUP  |
      | SIGTERM |
      | SIGINT  |

  Scenario Outline: A call that has no answer when the time to stop is up gets one: <kind>
    Guards against kept connections that a stopping daemon closes without an answer.

    Given a daemon in a process of its own that has 4 s to stop
    When it is asked to stop while a "<kind>" call on a kept connection waits for its endpoint
    Then the call is answered with <status> before the daemon ends
    And the daemon ends by itself, without an error

    Examples:
      | kind  | status |
      | look  | 504    |
      | order | 504    |
      | draft | 504    |
      | note  | 504    |

Feature: Calls that the library cannot name
  Every failure of a call is an error of the daemon's own layer.

  Scenario Outline: A connection closed in the moment it is made ends no daemon
    A caller sees all its streams on one host end at once: the daemon is gone.
    An endpoint, or a part of the platform, closed a connection just as it was
    made; the event loop had no socket left to show, the HTTP library failed with
    AttributeError, and no layer turned it into an error of its own.

    Given that each new connection is closed in the moment it is made
    When the daemon <calls>
    Then the call fails with "<error>"

    Examples:
      | calls                      | error         |
      | reads the list of hosts    | DaemonError   |
      | reads the service          | StoreError    |
      | orders an endpoint         | EndpointError |
      | asks an endpoint to report | EndpointError |
      | probes an endpoint         | not reached   |

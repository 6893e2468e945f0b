Feature: Errors that the HTTP library does not wrap
  Every failure of a call is raised as an error of the daemon's own.

  Scenario Outline: A connection closed as it is opened does not crash the daemon
    All streams of a host end at once because its daemon crashed. An endpoint, or a
    service of the platform, closed a connection just as it was opened; the event loop
    had no socket to return, the HTTP library raised AttributeError, and no layer
    translated it into an error of its own.

    Given that each new connection is closed as it is opened
    When the daemon <calls>
    Then the call fails with "<error>"

    Examples:
      | calls                       | error         |
      | reads the list of hosts     | DaemonError   |
      | reads the key-value service | StoreError    |
      | sends an order              | EndpointError |
      | requests a report           | EndpointError |
      | probes an endpoint          | not reached   |

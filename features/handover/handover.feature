Feature: One host gets most of the new connections

  Scenario Outline: One of <hosts> hosts gets most of the new connections, <then>
    Guards against a host that serves a smaller share of the requests it reads once the callers of other hosts connect to it.

    Given the whole path with <hosts> daemons
    When callers open new connections to all hosts for 3 s, then at three times the rate to one for 4 s, <then>
    Then from 1 s on the share served at the first attempt is at least three quarters of the one before

    Examples:
      | hosts | then                               |
      | 3     | without a change                   |
      | 5     | without a change                   |
      | 3     | and to another when that one stops |

Feature: Most new connections come to one host

  Scenario Outline: Most new connections come to one host of <hosts>, <then>
    Guards against a host that serves less of what it reads when others' callers come to it.

    Given the whole path with <hosts> daemons
    When callers open new connections to all hosts for 3 s, then three times as often to one for 4 s, <then>
    Then from 1 s on at least three quarters as many are served at the first attempt as before

    Examples:
      | hosts | then                               |
      | 3     | and go on so                       |
      | 5     | and go on so                       |
      | 3     | and to another once that one stops |

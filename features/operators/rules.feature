Feature: Rules about requests are checked with the folder

  Scenario Outline: A fault of a rule is named with file, section and key
    Given the valid file "10.ini"
    And the lines "<lines>" in file "20.ini"
    When the files are checked
    Then the only fault is that "<fault>"

    Examples:
      | lines                                                     | fault                                                                                     |
      | [rule r];team = nobody                                    | 20.ini: [rule r] team: no section [team nobody]                                           |
      | [rule r];service = nothing                                | 20.ini: [rule r] service: no section [service nothing]                                    |
      | [rule r];application = nothing                            | 20.ini: [rule r] application: no section [application nothing]                            |
      | [rule r];service = orders;path = new                      | 20.ini: [rule r] path: 'new': allowed: a path within the service that begins with / and does not end with / |
      | [rule r];service = orders;path = /new/                    | 20.ini: [rule r] path: '/new/': allowed: a path within the service that begins with / and does not end with / |
      | [rule r];service = orders;path = /                        | 20.ini: [rule r] path: '/': allowed: a path within the service that begins with / and does not end with / |
      | [rule r];service = orders;path = /a/../b                  | 20.ini: [rule r] path: '/a/../b': allowed: a path within the service that begins with / and does not end with / |
      | [rule r];path = /new                                      | 20.ini: [rule r] path: allowed only beside service                                        |
      | [rule r];methods = post                                   | 20.ini: [rule r] methods: 'post': allowed: separated by commas, of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS |
      | [rule r];non_idempotent = perhaps                         | 20.ini: [rule r] non_idempotent: 'perhaps': allowed: yes or no                            |
      | [rule r];without_key = wait                               | 20.ini: [rule r] without_key: 'wait': allowed: one of run, refuse, refuse_when_store_down |
      | [rule r];key = needed                                     | 20.ini: [rule r] key: unknown key; allowed: team, service, application, methods, path, non_idempotent, without_key |
      | [team b];[rule r];team = b;service = orders               | 20.ini: [rule r] service: this service does not belong to b                               |
      | [rule a];service = orders;[rule b];service = orders       | 20.ini: [rule b] service: matches the same requests as [rule a]                           |
      | [rule a];service = orders;path = /n;[rule b];service = orders;path = /n | 20.ini: [rule b] path: matches the same requests as [rule a]                |
      | [rule a];methods = PUT, GET;[rule b];methods = GET,DELETE | 20.ini: [rule b] methods: matches the same requests as [rule a]                           |
      | [rule a];team = optics;[rule b];team = optics             | 20.ini: [rule b] team: matches the same requests as [rule a]                              |
      | [rule a];[rule b]                                         | 20.ini: [rule b]: matches the same requests as [rule a]                                   |

  Scenario: A later file refines a rule of an earlier one
    Given the valid file "10.ini"
    And the lines "[rule r];service = orders;path = new;without_key = refuse" in file "20.ini"
    And the lines "[rule r];path = /new" in file "30.ini"
    When the files are checked
    Then section "rule r" holds "service = orders;path = /new;without_key = refuse"

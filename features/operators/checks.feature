Feature: Folders and settings are checked whole
  Every fault of every file is named at once with file, section, key and what
  is allowed, and nothing is changed.

  Scenario: All faults of all files show at once
    An operator mends one fault, applies again, and meets the next.
    The check stopped at the first kind of fault: a wrong value hid a missing
    reference, and a section that stood twice hid everything after it.

    Given the file "10.ini"
      """
      [team optics]
      share = many
      share = 2
      [team optics]
      [key counter]
      team = optics
      hash = ABC
      [adapter refill]
      team = lenses
      base_model = namib-7b
      """
    And the file "20.ini"
      """
      [version refill@1]
      [version refill]
      [application reminders]
      team = optics
      model = refill@2
      [application refill@1]
      team = optics
      model = refill@1
      [endpoint draft-0]
      address = drafting.example:80
      data_centre = dc1
      base_model = namib-7b
      """
    When the files are checked
    Then the faults are
      | fault                                                                                                          |
      | 10.ini: [team optics] share: stands twice in this section                                                      |
      | 10.ini: [team optics]: stands twice in this file                                                               |
      | 10.ini: [key counter] hash: 'ABC': allowed: 64 digits of lower-case hexadecimal, the SHA-256 of the key        |
      | 10.ini: [adapter refill] team: no section [team lenses]                                                        |
      | 20.ini: [version refill]: 'refill' is not of the form adapter@version                                          |
      | 20.ini: [application refill@1]: 'refill@1': allowed: a name of letters, digits, '.', '_' and '-'               |
      | 20.ini: [application reminders] model: no section [version refill@2]                                           |
      | 20.ini: [endpoint draft-0] address: 'drafting.example:80': allowed: an address of the form IP:port, the IP as a number |

  Scenario Outline: A fault that the parser or a later section would hide
    Given the valid file "10.ini"
    And the lines "<lines>" in file "20.ini"
    When the files are checked
    Then the only fault is that "<fault>"

    Examples:
      | lines                                                                                    | fault |
      | [DEFAULT];role = administrator                                                           | 20.ini: [DEFAULT]: unknown kind; allowed: team, key, adapter, version, application, service, rule, endpoint, weight_store, placement |
      | [endpoint draft-1];address = 127.0.0.1:1;data_centre = dc1;base_model = namib-7b         | 20.ini: [endpoint draft-1] address: '127.0.0.1:1' stands in [endpoint draft-0] already |
      | [service orders-2];team = optics;path = /orders                                          | 20.ini: [service orders-2] path: '/orders' stands in [service orders] already |
      | [service models];team = optics;path = /v1/models                                         | 20.ini: [service models] path: '/v1/models': allowed: a path that begins with /, does not end with / and is not under /v1 |
      | [service all];team = optics;path = /                                                     | 20.ini: [service all] path: '/': allowed: a path that begins with /, does not end with / and is not under /v1 |
      | [key other];team = optics;hash = aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa | 20.ini: [key other] hash: 'aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa' stands in [key counter] already |
      | [team  optics]                                                                           | 20.ini: [team  optics]: ' optics': allowed: a name of letters, digits, '.', '_' and '-' |
      | [weight_store north]                                                                     | 20.ini: [weight_store north]: allowed: [weight_store], without a name |
      | share = 1                                                                                | 20.ini: File contains no section headers. file: '20.ini', line: 1 'share = 1' |
      | [endpoint draft-1];address = ::1:80;data_centre = dc1;base_model = namib-7b              | 20.ini: [endpoint draft-1] address: '::1:80': allowed: an address of the form IP:port, the IP as a number |
      | [endpoint draft-1];address = 127.0.0.1:x;data_centre = dc1;base_model = namib-7b         | 20.ini: [endpoint draft-1] address: '127.0.0.1:x': allowed: an address of the form IP:port, the IP as a number |

  Scenario: Settings name all their faults at once
    Given the settings file
      """
      [DEFAULT]
      name = smuggled
      [listen]
      callers = 127.0.0.1:1
      administration = 127.0.0.1:1
      peers = localhost:3
      certificate_file = /nowhere/certificate.pem
      [platform]
      key_value = http://store.example:2379
      host_list = ftp://127.0.0.1:4
      [peers]
      heartbeat_s = 5
      silence_s = 6
      [logs]
      level = loud
      statsd = 127.0.0.1
      """
    When the daemon's binary checks it
    Then it ends with 2 and names the faults
      | fault                                                                                     |
      | [DEFAULT]: unknown; allowed: host, listen, platform, peers, requests                      |
      | [host] name: missing; allowed: a name of letters, digits, '.', '_' and '-'                |
      | [host] data_centre: missing; allowed: a name                                              |
      | [listen] peers: 'localhost:3': allowed: an address of the form IP:port                    |
      | [listen] administration: '127.0.0.1:1' is the address of callers already                  |
      | [listen] key_file: allowed: both certificate_file and key_file, or none                   |
      | [listen] certificate_file: /nowhere/certificate.pem: No such file or directory            |
      | [platform] key_value: 'http://store.example:2379': allowed: a URL of the form             |
      | [platform] host_list: 'ftp://127.0.0.1:4': allowed: a URL of the form                     |
      | [peers] silence_s: allowed: from twice heartbeat_s, 10                                    |
      | [logs] level: 'loud': allowed: one of error, info, debug                                  |
      | [logs] statsd: '127.0.0.1': allowed: an address of the form IP:port                       |

  Scenario Outline: A settings file that cannot be read is a clear error
    Given the settings file holds bytes "<bytes>"
    When the daemon's binary checks it
    Then it ends with 2 and names the faults
      | fault   |
      | <fault> |

    Examples:
      | bytes  | fault             |
      | none   | No such file      |
      | 5bff5d | not UTF-8 at byte 1 |

  Scenario Outline: A folder that cannot be read is a clear error
    Given a folder that <state>
    When the command "check" reads it
    Then it ends with 2 and says "<message>"

    Examples:
      | state                  | message                    |
      | is missing             | no such folder             |
      | is a file              | not a folder               |
      | holds no ini file      | holds no file named *.ini  |
      | holds a file not UTF-8 | bad.ini: not UTF-8 at byte 0 |

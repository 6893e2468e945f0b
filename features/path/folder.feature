Feature: The operators' folder
  Files are merged in the order of their names, and every fault is named
  with its file, section and key.

  Scenario: A later file refines an earlier one
    Given the folder file "10.ini"
      """
      [team optics]
      share = 1
      """
    And the folder file "20.ini"
      """
      [team optics]
      share = 3
      """
    When the folder is merged
    Then section "team optics" has "share" = "3"

  Scenario Outline: A fault names file, section and key
    Given the folder file "10.ini"
      """
      [team optics]
      """
    And a section "<section>" of one line "<line>" in file "20.ini"
    When the folder is merged
    Then the only fault is "<fault>"

    Examples:
      | section     | line           | fault                                                               |
      | team billing | share = many  | 20.ini: [team billing] share: 'many': allowed: a number from 0 to 1000 |
      | team billing | shares = 1    | 20.ini: [team billing] shares: unknown key; allowed: share, requests_per_s |
      | tame billing | share = 1     | 20.ini: [tame billing]: unknown kind; allowed: team, key, adapter, version, application, service, rule, endpoint, weight_store, placement |
      | service dues | path = dues   | 20.ini: [service dues] team: missing; allowed: a name of letters, digits, '.', '_' and '-' |

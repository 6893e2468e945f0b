Feature: The operators' configuration folder
  Files are merged in the order of their names, and every error names its file, section
  and key.

  Scenario: A later file overrides an earlier one
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

  Scenario Outline: An error names file, section and key
    Given the folder file "10.ini"
      """
      [team optics]
      """
    And a section "<section>" with the line "<line>" in file "20.ini"
    When the folder is merged
    Then the only error is "<error>"

    Examples:
      | section     | line           | error                                                               |
      | team billing | share = many  | 20.ini: [team billing] share: 'many': allowed: a number from 0 to 1000 |
      | team billing | shares = 1    | 20.ini: [team billing] shares: unknown key; allowed: share, requests_per_s |
      | tame billing | share = 1     | 20.ini: [tame billing]: unknown kind; allowed: team, key, adapter, version, application, service, rule, endpoint, weight_store, placement |
      | service dues | path = dues   | 20.ini: [service dues] team: missing; allowed: a name of letters, digits, '.', '_' and '-' |

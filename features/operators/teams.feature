Feature: An operator sees and changes only what its team owns
  Two teams share one deployment; an administrator looks after the rest.

  Background:
    Given the folder of two teams is in force

  Scenario: An operator's folder stands in the place of the team's sections
    When the operator of "dues" applies
      """
      [adapter tariffs]
      team = dues
      base_model = namib-7b
      [version tariffs@2]
      [application explain]
      team = dues
      model = tariffs@2
      [key dues-operator]
      team = dues
      role = operator
      hash = {hash of dues}
      """
    Then it ends with 0 and prints
      """
      generation {next} accepted:
        ~ [application explain] model = tariffs@1 -> tariffs@2
        - [version tariffs@1]
        + [version tariffs@2]
      """
    And section "adapter refill-0" is still there

  Scenario: Two teams apply at once and neither is told of a conflict
    Both saw the same generation. What one changes does not touch what the
    other owns, so the later one goes on top of the earlier.

    Given another operator applies "50-theirs.ini"
      """
      [application reminders]
      priority = batch
      """
    When the operator of "dues" applies based on the generation before
      """
      [key dues-operator]
      team = dues
      role = operator
      hash = {hash of dues}
      """
    Then it ends with 0 and prints
      """
      generation {after next} accepted:
        - [adapter tariffs]
      """
    And section "application reminders" has "priority" = "batch"

  Scenario Outline: A change outside the team is refused with its place
    When the operator of "dues" applies its sections and
      """
      <lines>
      """
    Then it ends with 2 and complains
      """
      <fault>
      """
    And generation {before} is still in force

    Examples:
      | lines                                                          | fault |
      | [adapter refill-0];base_model = other;team = optics            | folder.ini: [adapter refill-0] base_model: an operator of dues may change only what dues owns |
      | [adapter refill-0];base_model = namib-7b;team = dues           | folder.ini: [adapter refill-0] team: an operator of dues may change only what dues owns |
      | [version refill-0@2]                                           | folder.ini: [version refill-0@2]: an operator of dues may change only what dues owns |
      | [team dues];share = 100                                        | folder.ini: [team dues] share: an operator of dues may change only what dues owns |
      | [weight_store];loads_per_s = 9                                 | folder.ini: [weight_store] loads_per_s: an operator of dues may change only what dues owns |
      | [endpoint draft-0];slots = 1;address = {address of draft-0};data_centre = dc1;base_model = namib-7b | folder.ini: [endpoint draft-0] slots: an operator of dues may change only what dues owns |
      | [adapter mine];base_model = namib-7b;team = optics             | folder.ini: [adapter mine]: an operator of dues may change only what dues owns |
      | [key root];team = dues;role = administrator;hash = bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb | folder.ini: [key root] role: allowed to an operator: caller, operator |
      | [application theirs];team = dues;model = refill-0@1            | folder.ini: [application theirs] model: this adapter does not belong to dues |
      | [rule all];without_key = refuse                                | folder.ini: [rule all] without_key: an operator of dues may change only what dues owns |
      | [rule theirs];team = optics;service = orders                   | folder.ini: [rule theirs]: an operator of dues may change only what dues owns |
      | [rule theirs];team = dues;service = orders;non_idempotent = no | folder.ini: [rule theirs] service: this service does not belong to dues |

  Scenario: An operator sees its own team's sections only
    When the operator of "dues" runs "adapters --json"
    Then it ends with 0 and prints
      """
      "name": "tariffs"
      """
    And it does not print "refill"
    And the configuration that the operator of "dues" sees is
      | section           |
      | adapter tariffs   |
      | application explain |
      | key dues-operator |
      | team dues         |
      | version tariffs@1 |
    When the operator of "dues" runs "drain host-1"
    Then it ends with 4 and complains
      """
      this needs an administrator's
      """
    When the operator of "dues" runs "drain --endpoint draft-0"
    Then it ends with 4 and complains
      """
      this needs an administrator's
      """

  Scenario: An operator cannot shut an administrator out
    A team's operator leaves the administrator's key out of its folder, because
    it never saw it, and the key is gone on every host.
    The cause was that an administrator's key counted as its team's.

    When the operator of "dues" applies
      """
      [key dues-operator]
      team = dues
      role = operator
      hash = {hash of dues}
      """
    Then section "key dues-administrator" is still there
    And the operator of "dues" does not see section "key dues-administrator"

  Scenario: A section that another team still needs is named
    Given another operator applies "50-theirs.ini"
      """
      [application borrowed]
      team = optics
      model = tariffs@1
      """
    When the operator of "dues" applies
      """
      [key dues-operator]
      team = dues
      role = operator
      hash = {hash of dues}
      """
    Then it ends with 2 and complains
      """
      (in force): [application borrowed] model: no section [version tariffs@1]
      """

  Scenario: No folder of an operator changes what another team owns
    When operators of 2 teams apply random folders to a random configuration
    Then what is accepted differs in the team's own sections only

  Scenario: The differences of two configurations lead from one to the other
    When random configurations are compared
    Then the changes turn the one into the other

  Scenario: An operator's rollback leaves the other teams alone
    Given another operator applies "50-theirs.ini"
      """
      [application reminders]
      priority = batch
      [application explain]
      priority = batch
      """
    When the operator of "dues" runs "rollback {before}"
    Then it ends with 0 and prints
      """
      generation {after next} accepted:
        - [application explain] priority = batch
      """
    And section "application reminders" has "priority" = "batch"

  Scenario: Each accepted change leaves an audit event
    When the operator of "dues" applies
      """
      [key dues-operator]
      team = dues
      role = operator
      hash = {hash of dues}
      """
    Then the time line of host 0 holds "configuration.accepted" with
      | field      | value         |
      | key        | dues-operator |
      | team       | dues          |
      | generation | {next}        |

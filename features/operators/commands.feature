Feature: The operators' command on real daemons
  Each command ends with its documented exit code, as text and as JSON.

  Background:
    Given the example folder is in force

  Scenario: A diff shows what an apply then puts in force on every host
    Given the folder with "50-change.ini"
      """
      [team optics]
      share = 3
      [adapter fitting]
      team = optics
      base_model = namib-7b
      [version fitting@1]
      """
    When the administrator runs "diff {folder}"
    Then it ends with 1 and prints
      """
        + [adapter fitting]
        + [adapter fitting] base_model = namib-7b
        + [adapter fitting] team = optics
        + [team optics] share = 3
        + [version fitting@1]
      """
    When the administrator runs "apply {folder} --wait"
    Then it ends with 0 and prints
      """
      generation {next} in force on 3 hosts
      """
    When the administrator runs "diff {folder}"
    Then it ends with 0 and prints
      """
      no difference
      """
    When the administrator runs "status"
    Then it ends with 0 and prints
      """
      generation {next} in force on 3 of 3 hosts
      """
    When the administrator runs "generations"
    Then it ends with 0 and prints
      """
      operations  optics
      """

  Scenario: Faults of all files are named and nothing is changed
    Given the folder with "50-change.ini"
      """
      [team optics]
      share = many
      """
    And the folder with "60-change.ini"
      """
      [adapter fitting]
      team = lenses
      base_model = namib-7b
      """
    When the administrator runs "apply {folder}"
    Then it ends with 2 and complains
      """
      50-change.ini: [team optics] share: 'many': allowed: a number from 0 to 1000
      60-change.ini: [adapter fitting] team: no section [team lenses]
      """
    And generation {before} is still in force
    When the administrator runs "check {folder} --json"
    Then it ends with 2 and complains
      """
      "key": "share"
      """

  Scenario: Of two operators who race, one gets both diffs
    Two operators change the folder at once. The second would take back the
    first one's change without having seen it.
    It is refused as a conflict by compare-and-swap, with what each changed
    against the generation both saw.

    Given another operator applies "50-theirs.ini"
      """
      [team optics]
      share = 7
      """
    And the folder with "50-mine.ini"
      """
      [weight_store]
      loads_per_s = 5
      """
    When the administrator runs "apply {folder} --based-on {before}"
    Then it ends with 3 and complains
      """
      conflict: generation {next} came after {before}; nothing was changed
      theirs, against generation {before}:
        + [team optics] share = 7
      yours, against generation {before}:
        ~ [weight_store] loads_per_s = 4 -> 5
      to go on: apply --based-on {next}
      """
    When the administrator runs "apply {folder} --based-on {before} --json"
    Then it ends with 3 and complains
      """
      "base_kept": true
      """

  Scenario: A rollback is a new generation with the sections of an earlier one
    Given another operator applies "50-theirs.ini"
      """
      [team optics]
      share = 7
      [adapter fitting]
      team = optics
      base_model = namib-7b
      """
    When the administrator runs "rollback {before} --wait"
    Then it ends with 0 and prints
      """
        - [adapter fitting]
        - [adapter fitting] base_model = namib-7b
        - [adapter fitting] team = optics
        - [team optics] share = 7
      """
    And generation {after next} is in force with the example's sections
    When the administrator runs "rollback 999999"
    Then it ends with 7 and complains
      """
      generation 999999 is not kept; only the last 64
      """

  Scenario: The catalogue is paged and filtered
    When the administrator runs "adapters --limit 2"
    Then it ends with 0 and prints
      """
      more: --after refill-1
      """
    When the administrator runs "adapters --limit 2 --after refill-8 --json"
    Then it ends with 0 and prints
      """
      "name": "refill-9"
      """
    When a caller asks for "refill-3@1" through host 1
    And the administrator runs "adapters --loaded yes --prefix refill-3"
    Then it ends with 0 and prints
      """
      refill-3@1  optics  namib-7b    draft-
      """
    When the administrator runs "endpoints"
    Then it ends with 0 and prints
      """
      counter-0  service  orders
      """

  Scenario Outline: Exit codes tell the shell what went wrong
    When <who> runs "<command>"
    Then it ends with <code> and complains
      """
      <message>
      """

    Examples:
      | who               | command                                      | code | message                      |
      | the administrator | drain host-9                                 | 7    | no host host-9; there are: host-0, host-1, host-2 |
      | the administrator | drain --endpoint draft-9                     | 7    | no endpoint draft-9 |
      | the administrator | drain                                        | 64   | name either a host or --endpoint NAME |
      | the administrator | drain host-1 --endpoint draft-0              | 64   | name either a host or --endpoint NAME |
      | the administrator | drain host-1 --undo                          | 64   | --undo: of an endpoint only |
      | the caller        | status                                       | 4    | key counter is a caller's, not an operator's |
      | the administrator | status --url http://127.0.0.1:1              | 5    | http://127.0.0.1:1: [Errno 111] Connection refused |
      | the administrator | status --url http://{key-value service}          | 5    | no administration API answers there |
      | the administrator | statsu                                       | 64   | Invalid command 'statsu'     |
      | the administrator | adapters --limit 5000                        | 8    | limit: '5000': a whole number from 0 to 1000 |
      | the administrator | rollback next                                | 64   | Invalid value for 'generation' |

  Scenario Outline: Every command's help shows an example
    When the administrator runs "<command> --help"
    Then it ends with 0 and prints
      """
      Example: knapweedbridge <command>
      """

    Examples:
      | command     |
      | check       |
      | diff        |
      | apply       |
      | rollback    |
      | generations |
      | status      |
      | adapters    |
      | endpoints   |
      | drain       |
      | timeline    |
      | version     |

  Scenario: An endpoint ordered to leave on one host gets nothing through another
    When the administrator runs "drain --endpoint draft-0"
    Then it ends with 0 and prints
      """
      draft-0 is ordered to leave
      """
    And host 1 soon shows "draft-0" as leaving
    And 4 requests through host 1 all run on "draft-1"
    And the time line of host 0 holds "endpoint.ordered" with
      | field    | value      |
      | key      | operations |
      | team     | optics     |
      | endpoint | draft-0    |
      | leaving  | True       |
    When the administrator runs "drain --endpoint draft-0 --undo --json"
    Then it ends with 0 and prints
      """
      "ordered_to_leave": false
      """
    And host 1 soon shows "draft-0" as serving
    When the administrator runs "drain --endpoint draft-1"
    Then host 1 soon shows "draft-1" as leaving
    And 4 requests through host 1 all run on "draft-0"
    When the administrator runs "drain --endpoint draft-1 --undo"
    Then host 1 soon shows "draft-1" as serving

  Scenario: A host is drained from afar
    When the administrator runs "drain host-2"
    Then it ends with 0 and prints
      """
      host-2 is draining
      """
    And the daemon of "host-2" ends by itself
    When the administrator runs "apply {folder} --wait --wait-s 0.5"
    Then it ends with 6 and complains
      """
      lagging:
        host-2: http://{administration of host-2}: [Errno 111] Connection refused
      """
    When the administrator runs "timeline --limit 5"
    Then it ends with 0 and prints
      """
      host-2 did not answer: http://{administration of host-2}: [Errno 111] Connection refused
      """
    Given the daemon of "host-2" starts again
    When the administrator runs "status"
    Then it ends with 0 and prints
      """
      in force on 3 of 3 hosts
      """

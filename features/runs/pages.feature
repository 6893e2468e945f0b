Feature: Pages that follow from measurements and tests

  Scenario: The capacity page agrees with the measured slopes
    If this fails after a benchmark was run anew, run make capacity.

    Then the tables of the capacity page are those of bench/results

  Scenario Outline: A row that misses its limit says by what factor
    Then <value> against a limit of <limit> reads "<verdict>"

    Examples:
      | value | limit | verdict |
      | 1     | 2     | holds |
      | 2     | 2     | holds |
      | 3     | 2     | **missed 1.5-fold** |

  Scenario Outline: Scenarios that the page of proofs names exist
    Then each scenario named for "<area>" on the page of proofs exists

    Examples:
      | area |
      | path |
      | runs |

  Scenario: The quick start passes over ports that are taken
    Another program listens on a port that the quick start would take; it
    moves to the next block instead of failing halfway through its start.

    Given a port of the first block is taken
    Then the example is found on the second block

  Scenario: A whole run does not start beside the daemons of another
    A run was killed and its daemons lived on; the next run's daemons could not
    listen, and the old ones answered its callers, so that its figures were of
    neither.

    Given a port of the first block is taken
    Then a deployment on the first block names the port and starts nothing

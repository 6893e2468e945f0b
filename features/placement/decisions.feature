Feature: The small decisions of placement

  Scenario: The forecast lets go when all popularity shifts
    Yesterday's hot adapters keep their slots by their old counts, while those
    that are hot now are evicted as soon as they are loaded.

    Given a forecast after 600 seconds of requests for "old"
    When "new" takes all requests for 30 seconds
    Then "new" adapters are expected before "old" ones
    And all counts started again 1 time

  Scenario Outline: A steady popularity is not taken for a shift
    Given a forecast after 1800 seconds of a steady popularity with seed <seed>
    Then all counts started again 0 times

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: One adapter that wakes is kept, though the others did not change
    Given a forecast after 600 seconds of requests for "old"
    When adapter "x" is used 5 times in 10 seconds beside them
    Then "x" is expected before the least of "old"

  Scenario Outline: A second copy comes before saturation and goes with hysteresis
    Given batches filled to "<fills>" one after another
    Then copies needed are "<copies>"

    Examples:
      | fills           | copies    |
      | 0.5 0.7         | 1 1       |
      | 0.5 0.85 0.7    | 1 2 2     |
      | 0.85 0.5 0.3    | 2 2 1     |

  Scenario Outline: Which holder serves
    Given holders that run "<running>" of 16
    When the setting weighs <weigh>
    Then the holder that runs <chosen> serves

    Examples:
      | running | weigh | chosen |
      | 2 7     | 0     | 2      |
      | 2 7     | 1     | 7      |
      | 2 13    | 1     | 2      |
      | 13 15   | 1     | 13     |

  Scenario Outline: Whose slot a load takes
    Given slots worth "0.001 0.004 0.1" on engines that run "1 9 10"
    When the setting weighs <weigh>
    Then the load goes to the engine that runs <chosen>

    Examples:
      | weigh | chosen |
      | 0     | 1      |
      | 0.1   | 1      |
      | 1     | 9      |

  Scenario Outline: The setting of what weighs more
    Given the section placement with "weigh = <text>"
    Then it is read as "<read>"

    Examples:
      | text    | read |
      | stalls  | 0.0  |
      | batches | 1.0  |
      | 0.25    | 0.25 |
      | nan     | [placement] weigh: 'nan': allowed: stalls, batches or a number from 0 (stalls) to 1 (batches) |
      | many    | [placement] weigh: 'many': allowed: stalls, batches or a number from 0 (stalls) to 1 (batches) |

  Scenario: A new load order learns the counts of the daemon before it
    Given a forecast after 600 seconds of requests for "old"
    When a new forecast learns its summary
    Then both expect the same 10 first

  Scenario Outline: Hot adapters gather on the fullest engine that has room
    Given an engine "x" of rate 0.9 that runs <running> of 16 and holds a victim worth <worth>
    And an engine "y" that holds a hot adapter of rate <rate> in <copies> copies
    Then the move is "<move>"

    Examples:
      | running | worth | rate | copies | move             |
      | 3       | 0.001 | 0.4  | 1      | hot to x         |
      | 3       | 0.02  | 0.4  | 1      | none             |
      | 3       | 0.001 | 0.01 | 1      | none             |
      | 3       | 0.001 | 0.4  | 2      | none             |
      | 12      | 0.001 | 0.4  | 1      | none             |

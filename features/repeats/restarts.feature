Feature: Repeats of all hosts stay within the allowance while hosts start again

  Scenario Outline: Repeats of nine hosts: <story>, <requests> requests a second, failing from <from> s
    Guards against hosts that spend their share again after each start, or that of others.

    When nine hosts repeat all they may from <from> to 40 s: <story>, <requests> requests a second
    Then no window of 10 s has more repeats than its requests and the slack allow

    Examples:
      | story                                      | requests | from |
      | nothing happens                            | 1        | 0    |
      | nothing happens                            | 20       | 0    |
      | all start at once and list the others late | 1        | 0    |
      | the pool loses their records for some time | 1        | 0    |
      | what is granted waits for 3 s now and then | 1        | 0    |
      | what is granted waits for 3 s now and then | 20       | 0    |
      | what is sent is held up until 19 s         | 20       | 13   |
      | all start again                            | 1        | 0    |
      | all start again                            | 1        | 13   |
      | all start again                            | 20       | 13   |
      | all start again three times                | 1        | 13   |
      | all start again three times                | 20       | 13   |
      | most start again                           | 1        | 13   |
      | most start again                           | 20       | 13   |
      | one after the other starts again           | 1        | 0    |
      | one after the other starts again           | 1        | 13   |
      | one after the other starts again           | 20       | 13   |
      | hosts start again at random                | 20       | 13   |
      | four are frozen for 6 s                    | 20       | 13   |
      | all start again while records have lapsed  | 1        | 13   |
      | the store is away                          | 20       | 13   |
      | all start again while the store is away    | 1        | 13   |
      | all start again while the store is away    | 20       | 13   |
      | all start again as the store returns       | 20       | 20   |

  Scenario Outline: Callers of hosts that have just started get repeats: <story>, <requests> requests a second
    Guards against new hosts that repeat next to nothing until a window has passed.

    When nine hosts repeat all they may from 16.5 to 40 s: <story>, <requests> requests a second
    Then within 3 s they are granted <least> in a hundred of what is allowed in the window

    Examples:
      | story                                      | requests | least |
      | nothing happens                            | 1        | 50    |
      | nothing happens                            | 20       | 50    |
      | all start again                            | 1        | 50    |
      | most start again                           | 20       | 25    |
      | one after the other starts again           | 1        | 50    |
      | four are frozen for 6 s                    | 20       | 25    |
      | the store is away                          | 20       | 10    |

  Scenario Outline: Callers go on to get repeats: <story>, <requests> requests a second
    Guards against hosts that repeat next to nothing while others or they start again.

    When nine hosts repeat all they may from 13 to 45 s: <story>, <requests> requests a second
    Then each window of 10 s from 23 s on has a third of the repeats that are allowed

    Examples:
      | story                            | requests |
      | nothing happens                  | 20       |
      | all start again                  | 20       |
      | all start again three times      | 20       |
      | most start again                 | 20       |
      | one after the other starts again | 20       |
      | hosts start again at random      | 20       |
      | four are frozen for 6 s          | 20       |

  Scenario Outline: Repeats of a host whose process is killed among failing calls: <story>
    Guards against processes that do not find what the previous one has reserved.

    Given the whole path
    When 60 look-ups fail, the daemon is killed and starts again, and 60 more fail: <story>
    Then no 10 s have more repeats than a fifth of the look-ups and the slack
    And more than 5 repeats have arrived

    Examples:
      | story                            |
      | the store answers                |
      | the store is away until the kill |

  Scenario: Daemons record since when the era of the store has lasted
    Guards against records that are believed although a restored store has lost later ones.

    Given the whole path
    When the store comes back from an older copy
    Then its first era was recorded as begun at any time, and the next as begun just now

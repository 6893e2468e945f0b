Feature: The stand-ins of the outside systems
  They fail in the ways the platform fails, each switched by HTTP.

  Scenario: A stream is resumed at an offset under its attempt id
    A connection breaks after some tokens; the caller's daemon opens another one,
    which asks for the rest by attempt id, beginning at an offset.

    Given an engine stand-in that holds "refill@1"
    When attempt "r1.1" of 6 tokens on "refill@1" has made 6 tokens
    Then the stream of "r1.1" from offset 4 holds the last 2 tokens

  Scenario: An attempt that is cancelled ends at once
    Given an engine stand-in that holds "refill@1"
    When attempt "r1.1" of 6 tokens on "refill@1" has made 2 tokens
    And attempt "r1.1" is cancelled
    Then the engine runs nothing

  Scenario: An eviction under a running attempt is counted and seen
    Given an engine stand-in that holds "refill@1"
    When attempt "r1.1" of 6 tokens on "refill@1" has made 2 tokens
    And "refill@1" is evicted under number 3
    Then the report counts 1 eviction while running

  Scenario Outline: Orders with an old fencing number are refused only by those that check
    Given an engine stand-in that holds "refill@1"
    And the engine <checks> fencing numbers
    When "refill@1" is evicted under number 3
    And "fitting@1" is loaded under number 2
    Then the last order got status <status>
    And the report counts 1 order of an old number

    Examples:
      | checks  | status |
      | checks  | 412    |
      | ignores | 200    |

  Scenario Outline: New work is refused
    Given an engine stand-in that holds "refill@1"
    And the engine fault <fault> is on
    When attempt "r1.1" on "refill@1" is sent
    Then the last order got status <status>
    And nothing was run

    Examples:
      | fault   | status |
      | leaving | 503    |
      | refuse  | 429    |

  Scenario: A known prompt has its first token sooner
    Given an engine stand-in that holds "refill@1"
    When a prompt of 640 characters is stored
    Then 0 of its blocks are missing, and 40 of another

  Scenario: A load that fails partway leaves no adapter behind
    Given an engine stand-in with a weight store whose next load fails partway
    When "fitting@1" is loaded under number 1
    Then the last order got status 500
    When "fitting@1" is loaded under number 1
    Then the last order got status 200

  Scenario: A reply is lost after its write took effect
    The writer sees a timeout, and the value is there all the same.

    Given a key-value stand-in
    When the fault "lose_replies" is set to 1
    And "a" is written
    Then the last call got status 503
    And "a" is held at revision 1

  Scenario Outline: The key-value service refuses
    Given a key-value stand-in
    When <what>
    Then the last call got status <status>

    Examples:
      | what                              | status |
      | a value of 1048577 bytes is written | 400  |
      | the fault "down" is set to 1 and "a" is written | 503 |
      | 401 writes come at once           | 429    |
      | a key is written under no such lease | 404 |

  Scenario: Older contents are restored
    Given a key-value stand-in
    When "a" is written
    And the contents are saved
    And "a" is written
    And the contents are restored
    Then "a" is held at revision 1

  Scenario: The history of a watch is bounded
    Given a key-value stand-in
    When 5000 changes are made
    Then the history holds 4096 changes and says what is compacted

  Scenario: The list of hosts shows a change after its lag
    Given a host list with a lag of 1000 seconds
    When "host-0" is put on the list
    Then the list is empty
    And after the lag the list holds "host-0"

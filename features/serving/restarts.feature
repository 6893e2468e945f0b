Feature: Endpoints that start again under their id, and entries of another writer

  Scenario Outline: A new start knows nothing of the one before: <what>
    An engine lost its power and was back under its id after a second. Callers were sent
    to it for adapters of before, and refused; or it was left alone for failures of
    before: what was believed of one start was taken for true of the next.

    Given engine e1, started at 1000, that holds "m/x", held "m/y" and failed its calls
    When <happens>
    Then e1 is believed <believed>

    Examples:
      | what                          | happens                                       | believed                     |
      | its entry tells               | its entry says that it started at 2000        | empty, sound and at start 2000 |
      | its owner tells               | its owner tells of it, started at 2000        | empty, sound and at start 2000 |
      | it tells itself               | it reports that it started at 2000            | empty, sound and at start 2000 |
      | a word of before              | its entry says that it started at 500         | as before and at start 1000  |
      | a word without a start        | its entry says no start                       | as before and at start 1000  |
      | an owner's word of before     | it starts at 2000 and an older telling comes  | empty, sound and at start 2000 |
      | a call of before fails        | it starts at 2000 and a call of before fails  | empty, sound and at start 2000 |

  Scenario: A start that its entry tells after its life was unknown is no new one
    Given engine e1, started at 0, that holds "m/x", held "m/y" and failed its calls
    When its entry says that it started at 2000
    Then e1 is believed as before and at start 2000

  Scenario: The owner of an engine that is back under its id still owns it
    An engine fell out of the list and came back. Its owner's record stood all the
    while, and no daemon asked for adapters there any more, as none knew of an owner.

    Given host h1 at start 5 owned engine e1
    When e1 falls out of the list and comes back
    Then h1 is believed to own it

  Scenario Outline: An entry of another writer names no endpoint: <fault>
    Calls went to an address that stood in an entry no server had written, and the
    daemon forgot a sound endpoint's state as it stumbled over the next.

    Given a sound entry
    When it is read with <fault>
    Then it names no endpoint

    Examples:
      | fault                       |
      | no service                  |
      | no address                  |
      | no zone                     |
      | no state                    |
      | no slots                    |
      | no seq                      |
      | service 7                   |
      | address "10.0.0.1"          |
      | address "nowhere:80"        |
      | address "10.0.0.1:80000"    |
      | slots "8"                   |
      | slots 8.5                   |
      | slots true                  |
      | slots 0                     |
      | state "resting"             |
      | state ["ready"]             |
      | seq null                    |
      | born "yesterday"            |
      | born 12.5                   |
      | models {"name": "m"}        |
      | models [{"adapters": [7]}]  |
      | bytes that are no text      |
      | a list in its place         |

  Scenario: No bytes in an entry stop its reader
    When any entry is read
    Then it names an endpoint whose fields have their types, or none

  Scenario: An entry that cannot be read takes its endpoint out of use, and no other
    Given engines a and b are listed
    When the entry of a cannot be read, for 5 heartbeats
    Then new work goes to b only, and the log says once why
    And a is used again when its entry is sound

  Scenario Outline: A record of the daemons' own is read whole or not at all: <record>
    Then the record <record> is unreadable

    Examples:
      | record                                       |
      | daemons/h ["now", "127.0.0.1:1", "d", false] |
      | daemons/h [1, 5, "d", false]                 |
      | daemons/h [1, "127.0.0.1:1"]                 |
      | owners/e [5, 1]                              |
      | owners/e ["h", "1"]                          |
      | owners/e "h"                                 |

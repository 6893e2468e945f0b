Feature: One coordinator of a quota after another
  A daemon that the store turns away coordinates by an outdated list until its lease ends.

  Scenario Outline: A daemon that is listed again coordinates once the previous one has stopped: <story>
    Guards against two daemons that grant one quota while the store turns one of them away.

    Given three daemons, of which the first coordinator of an account is down
    When it is listed again while the store turns the second one away, which <state>
    Then it grants units from <least> to <most> s after its listing
    And in no window are more units granted than the quota allows

    Examples:
      | story                     | state                                    | least | most |
      | it hears of it            | hears of it                              | 0     | 1.2  |
      | the first word is lost    | loses messages for 0.5 s                 | 0.4   | 1.2  |
      | it is cut off             | is cut off from the others               | 9     | 10.5 |
      | its lease ends            | is cut off and no longer listed after 6 s | 5.5   | 6.5  |
      | its process starts again  | is cut off and starts again after 3 s    | 2.5   | 3.5  |

  Scenario: A daemon of the previous release is waited for as in that release
    Guards against accounts without a coordinator for the time of a lease in each rollout.

    Given three daemons, of which the first coordinator of an account is down
    When it is listed again while the store turns the second one away, which is cut off and speaks protocol 6
    Then it grants units from 0.8 to 1.5 s after its listing

  Scenario: A daemon that is turned away sends its calls to the one that is listed
    Guards against calls refused for seconds at daemons with an outdated list.

    Given three daemons, of which the first coordinator of an account is down
    When it is listed again while the store turns the second one away, which hears of it
    Then calls at the second one are run again within 1.5 s of its listing

  Scenario Outline: After a rollback of the store a duty without a record may still be held: <story>
    Guards against a second coordinator beside one whose record the store has lost.

    Given three daemons, of which the first coordinator of an account is down
    When the store rolls back <ago> s before it is listed, and <record>
    Then it grants units from <least> to <most> s after its listing

    Examples:
      | story                         | ago | record                          | least | most |
      | it may                        | 1   | nobody has recorded when        | 9     | 11   |
      | it was long ago               | 60  | a daemon has recorded when      | 0     | 1.2  |
      | nobody had served before      | 1   | the secret is of that era       | 0     | 1.2  |

  Scenario Outline: A daemon that is listed anew <when> begins with <what>
    Guards against a burst that is granted twice, and against accounts that lose theirs.

    Given a daemon that coordinates an account since its configuration was added
    When its lease ends and it is listed anew <when>
    Then it grants <least> to <most> units at once

    Examples:
      | when         | what           | least | most |
      | after 12 s   | an empty part  | 0     | 500  |
      | within 5 s   | what it had    | 1000  | 2000 |

  Scenario Outline: An announced daemon is listed until the store would have confirmed it: <story>
    Guards against duties of a daemon that left before its announcement arrived.

    Given a daemon that hears an announcement
    When <confirmation>
    Then the announced one is <listed> 11 s later

    Examples:
      | story                  | confirmation                          | listed     |
      | the store confirms it  | the store lists it 2 s later          | listed     |
      | it has left            | the store says nothing                | not listed |
      | it leaves              | the store lists it, and no longer     | not listed |

Feature: Who may act after another

  Scenario Outline: A host leaves an engine to others for a turn after its last order: <story>
    Guards against hosts that alternate as owners of an engine within its bound for turns.

    Given h0, which started <started> s ago and last ordered e1 <ordered>
    And of e1's owner, <record>
    Then it may claim e1: <may>

    Examples:
      | story                           | started | ordered | record                                   | may |
      | its process before may have     | 2       | never   | h1 released it 1 s ago                   | no  |
      | that was a turn ago             | 3.2     | never   | h1 released it 1 s ago                   | yes |
      | this process has                | 60      | 2 s ago | h1 released it 1 s ago                   | no  |
      | that was a turn ago as well     | 60      | 4 s ago | h1 released it 1 s ago                   | yes |
      | nobody has acted since          | 0.5     | never   | h0's process before owned it             | yes |
      | none is known, all is calm      | 0.5     | never   | there is no record                       | yes |
      | none is known after an outage   | 0.5     | never   | its record was lost in an outage         | no  |

  Scenario Outline: A host that starts again keeps its engines: <story>
    Guards against another host that claims them as soon as their owner is listed again.

    Given h0, which started 60 s ago and last ordered e1 never
    And of e1's owner, h1 started again <ago> s ago
    Then it may claim e1: <may>

    Examples:
      | story                    | ago | may |
      | it is about to claim     | 0.3 | no  |
      | it doesn't claim         | 1.2 | yes |

  Scenario: A host that has to wait for its turn holds up no other
    Guards against an engine without an owner while hosts wait for one that cannot claim.

    Given h0, which started 60 s ago and last ordered e1 never
    And the hosts before it in e1's order have just started
    When h1 releases e1
    Then it may claim e1: yes

  Scenario: In random histories no host returns to an engine within a turn
    Guards against hosts that are killed, stopped and started again, and alternate as owners.

    Then 60 random histories of "who returns to an engine" break nothing

  Scenario Outline: A host that starts after a rollback of the store claims no engine whose owner may act: <story>
    Guards against a second owner beside one that the store turns away and has lost the record of.

    Given h0, which started <ago> s ago in an era of the store that <era>
    And of e1's owner, <record>
    Then it may claim e1: <may>

    Examples:
      | story                          | ago | era                          | record                       | may |
      | its owner may be turned away   | 8   | has no record                | there is no record           | no  |
      | by an outdated record it is it | 8   | has no record                | h0's process before owned it | no  |
      | that owner's lease has ended   | 11  | has no record                | there is no record           | yes |
      | the era began long ago         | 8   | began 60 s before by others  | there is no record           | yes |
      | the era began just before      | 8   | began 1 s before by others   | there is no record           | no  |
      | nobody had served before it    | 8   | began with the first secret  | there is no record           | yes |

  Scenario: Hosts that started after a rollback hold up no other
    Guards against an engine without an owner while hosts wait that cannot claim.

    Given h0, which started 60 s ago and last ordered e1 never
    And the store rolls back 2 s ago
    And the hosts before it in e1's order have just started
    When e1's record is lost with the store's
    Then it may claim e1: yes

  Scenario Outline: Duties pass on when the former holders have stopped: <story>
    Guards against a holder that begins beside another, or waits for one that has released.

    Given former holders that may act until <until>
    When <released>
    Then duties are free from <free> s on

    Examples:
      | story                      | until        | released                       | free |
      | there is none              | -            | nobody releases                | 100  |
      | all release                | h1 10, h2 12 | h1 releases at 3, h2 at 5      | 5    |
      | one is silent              | h1 10, h2 12 | h1 releases at 3               | 12   |
      | another is silent          | h1 10, h2 12 | h2 releases at 3               | 10   |
      | a stranger releases        | h1 10        | h7 releases at 3               | 10   |

Feature: A daemon gives overdue calls the capacity that others leave

  Scenario Outline: An overdue call goes to an engine after all others: <setting>
    Guards against retries that make first attempts late, where accounts have quotas.

    Given a pool that serves accounts with quotas: <quotas>, with overdue calls <setting>
    When 20 drafts come that may take 4 s, and then one that may take 2.5 s
    Then all are answered, and the engine saw the last one with rank <rank>
    And the log and the counter tell <told>

    Examples:
      | setting         | quotas | rank | told                       |
      | last            | yes    | 9    | that it was sent_last      |
      | as_others       | yes    | 1    | nothing                    |
      | by the template | yes    | 1    | nothing                    |
      | by the template | no     | 1    | nothing                    |

  Scenario: An overdue call waits for capacity, and no longer than its caller would
    Guards against a queue that keeps callers until they give up.

    Given a pool that serves accounts with quotas: yes, with overdue calls last
    When 20 drafts come that may take 4 s, and then one that may take 2.5 s while no capacity is left
    Then the last one is sent after 1.25 s, and another that may take 4 s at once
    And the log and the counter tell that it waits

  Scenario: Overdue calls beyond the queue's bound are refused at once, and told when to return
    Guards against backpressure that comes only when callers have given up.

    Given a pool that serves accounts with quotas: yes, with overdue calls last
    When 20 drafts come that may take 4 s, and then 3 that may take 2.5 s or less while no capacity is left
    Then 1 of them is refused within 0.3 s, and is to come back within 0.85 s
    And the log and the counter tell that it was refused

  Scenario: A caller that leaves the queue gives up its place at once
    Guards against places that are held by nobody.

    Given a pool that serves accounts with quotas: yes, with overdue calls last
    When 20 drafts come that may take 4 s, and then one that may take 2.5 s leaves while no capacity is left
    Then no call waits within 0.3 s

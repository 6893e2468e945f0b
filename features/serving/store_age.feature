Feature: A daemon knows how old its knowledge of the store is, from end to end

  Scenario Outline: A mark is given back once the store's answer covers it: <story>
    Given a relay whose hearer h marks 3.0 and 3.4 of its clock, which come at 7.0 and 7.4
    When calls to the store that began at <began> are answered
    Then the hearer is given back <mark>

    Examples:
      | story                  | began    | mark |
      | none began since       | 6.9      | 0.0  |
      | one began between them | 7.2      | 3.0  |
      | one began after both   | 7.5      | 3.4  |
      | an older one ends last | 7.5, 7.2 | 3.4  |

  Scenario: A relay forgets the marks of those that hear it no more
    Given a relay whose hearer h marks 3.0 and 3.4 of its clock, which come at 7.0 and 7.4
    When only daemon g hears it, and a call to the store that began at 8.0 is answered
    Then the hearer is given back 0.0

  Scenario Outline: What was proved of a daemon's knowledge never grows older: <story>
    Given a daemon that has proved what it knows at <moments>
    Then its knowledge is <age> s old at 12.0

    Examples:
      | story         | moments   | age |
      | nothing yet   |           | inf |
      | once          | 10.0      | 2.0 |
      | out of order  | 11.0, 9.5 | 1.0 |

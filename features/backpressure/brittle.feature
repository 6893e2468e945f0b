Feature: A brittle endpoint is not made to turn away more calls than it bears

  Scenario Outline: A brittle endpoint bears the calls of all hosts: <endpoint>, <bears> a second
    Guards against endpoints that fall over as hosts go on sending what they turn away.

    Given the whole path with 3 daemons
    When the service of <endpoint> has room for 2 calls each and bears <bears>, and <per_s> calls a second come
    Then from 3 s on none of its endpoints turns away more than <bears> in a second
    And calls are answered all the while

    Examples:
      | endpoint | bears | per_s |
      | desk-1   | 2     | 100   |
      | desk-1   | 6     | 100   |
      | engine-1 | 3     | 40    |

  Scenario: An endpoint that is brittle no more gets calls as before
    Guards against budgets that outlive the brittleness.

    Given the whole path
    When the plain endpoints say that they are brittle, and later that they are not
    Then calls are sent without asking for room

  Scenario Outline: The budget of a brittle endpoint: <story>
    Guards against permits for calls that could be one too many to turn away.

    Given an endpoint that bears <bears> calls a second
    When at <asked> ms calls ask for room, and at <turned_away> ms calls are turned away
    Then room is given at <given> ms

    Examples:
      | story                         | bears | asked             | turned_away | given       |
      | calls that arrive free it     | 3     | 0,10,20,90        | none        | 0,10,90     |
      | those turned away stay counted | 3    | 0,10,160,900,1010 | 5           | 0,10,160,900,1010 |
      | all turned away               | 3     | 0,10,200,1006     | 5,15        | 0,10,1006   |
      | it bears none                 | 0     | 0,10,90           | none        | 0,90        |

Feature: A brittle endpoint rejects no more calls than it can bear
  An endpoint is brittle if rejecting more than some number of calls per second overloads
  it. Daemons then share a budget of calls that the endpoint may have to reject.

  Scenario Outline: A brittle endpoint bears the calls of all hosts: <endpoint>, <bears> a second
    Guards against endpoints that are overloaded by hosts that keep sending calls which
    the endpoints reject.

    Given the whole path with 3 daemons
    When endpoints of the service of <endpoint> have 2 slots and bear <bears> rejections, and <per_s> calls per second arrive
    Then after 3 s none of its endpoints rejects more than <bears> calls in a second
    And calls succeed in every second

    Examples:
      | endpoint | bears | per_s |
      | desk-1   | 2     | 100   |
      | desk-1   | 6     | 100   |
      | engine-1 | 3     | 40    |

  Scenario: An endpoint that is no longer brittle receives calls without permits
    Guards against rejection budgets that stay in force for too long.

    Given the whole path
    When the plain endpoints state that they are brittle, and later that they are not
    Then calls are sent without requesting permits

  Scenario Outline: The rejection budget of a brittle endpoint: <case>
    Guards against permits for calls that would exceed the budget if they are rejected.

    Given an endpoint that bears <bears> rejections per second
    When calls request permits at <requested> ms, and calls are rejected at <rejected> ms
    Then permits are granted at <granted> ms

    Examples:
      | case                           | bears | requested         | rejected | granted           |
      | accepted calls free the budget | 3     | 0,10,20,90        | none     | 0,10,90           |
      | rejected calls stay counted    | 3     | 0,10,160,900,1010 | 5        | 0,10,160,900,1010 |
      | all calls are rejected         | 3     | 0,10,200,1006     | 5,15     | 0,10,1006         |
      | it bears no rejections         | 0     | 0,10,90           | none     | 0,90              |

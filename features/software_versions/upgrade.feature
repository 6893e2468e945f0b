Feature: Streams go on at their version while daemons are upgraded

  Scenario Outline: Upgraded hosts join no streams beside hosts of <version>
    Guards against streams joined where earlier hosts record nothing of them.

    Given a pool of 3 daemons of version <version>, in processes of their own
    When one is upgraded, and resumes streams of the others and of itself
    Then no stream holds events of two versions, and its own streams go on
    When the others are upgraded, and resume streams of each other
    Then no stream holds events of two versions, and half go on at least

    Examples:
      | version |
      | d8d599f |
      | 63e92f7 |

Feature: Daemons of two versions serve one pool

  Scenario Outline: An upgrade host by host costs no calls: from <version>
    Guards against hosts that do not understand each other while a pool is upgraded.

    Given a pool of 3 daemons of version <version>, in processes of their own
    When they are replaced one by one while calls come, and endpoints turn brittle
    Then all calls are answered, the refused ones once they come back
    And no call that may run once runs twice

    Examples: the last landed versions, the first of which publishes no protocol
      | version |
      | d8d599f |
      | 63e92f7 |

  Scenario Outline: A daemon is sent what its version understands: <daemon>
    Guards against messages that end the streams of a daemon of an earlier version.

    Given a daemon that <daemon>
    When it is sent a question for room and one for a permit
    Then it gets <gets>

    Examples:
      | daemon                                | gets             |
      | says nothing of its protocol          | one for a permit |
      | speaks the present protocol           | both             |
      | spoke it before it was set back       | one for a permit |
      | speaks a later protocol               | both             |

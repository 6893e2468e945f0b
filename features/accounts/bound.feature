Feature: An account's use of a large pool stays within what the operators accept
  Simulated in virtual time: an account on 64 daemons, with calls of up to 5,000 tokens.

  Scenario Outline: No window exceeds the accepted use: <story>
    Guards against an account that sends many times its limit, through more daemons than
    exchange messages directly, and uses far more than its quota; and against daemons that
    are all killed at once and each begin with a full burst.

    When accounts of <tokens> tokens a second run "<story>" with seeds 0 to 3
    Then no window of 8 s holds more than is accepted

    Examples:
      | story                                          | tokens |
      | all is well                                    | 1500   |
      | sends five times its usual                     | 1500   |
      | sends five times its usual                     | 77000  |
      | its limit is lowered                           | 1500   |
      | its limit is lowered                           | 77000  |
      | all hosts are killed while it sends five times | 1500   |
      | all hosts are killed while it sends five times | 77000  |
      | a third is cut off while it sends five times   | 1500   |
      | a third is cut off while it sends five times   | 77000  |

  Scenario Outline: Below its limit an account is not refused: <tokens> tokens a second
    When accounts of <tokens> tokens a second run "all is well" with seeds 0 to 3
    Then it gets all that a single counter would admit

    Examples:
      | tokens |
      | 1500   |
      | 8000   |
      | 77000  |

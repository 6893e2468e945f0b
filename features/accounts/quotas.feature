Feature: Client accounts' quotas in the platform's protocol
  An account's quota is split into parts; daemons request tokens from their coordinators.

  Scenario: An account above its quota gets 429 with a Retry-After, others do not
    Guards against an account that sends five times its usual rate and fills all engines, so
    that the calls of other accounts are late.

    Given the whole path with 3 daemons
    When "shop" with 1000 tokens a second asks 6000 for 3 s, and "lab" a call at times
    Then "shop" got 2000 to 5000 tokens run, and 429 with a Retry-After
    And "lab" was never refused

  Scenario: An account below its quota is not refused, whichever daemon it calls
    Given the whole path with 3 daemons
    When "shop" with 4000 tokens a second asks 1500 for 3 s
    Then no call was refused

  Scenario: Calls that are not run use no quota
    Guards against a quota that is used up by calls refused for lack of an endpoint, so
    that calls are refused again when the endpoints are back.

    Given the whole path
    When 40 calls of "shop" with 1000 tokens a second find no endpoint, and then 4 find one
    Then those 4 are answered

  Scenario Outline: A coordinator that does not know what is left refuses no call: <story>
    Guards against 429 below the quota while a coordinator lags or has lost its lease.

    Given two daemons and an account with 4000 tokens a second coordinated by one of them
    When a call of 200 tokens comes while the coordinator <state>
    Then it is <answer>

    Examples:
      | story                       | state                                       | answer                   |
      | it knows the account        | knows the account                           | run at once              |
      | a configuration comes late  | hears of the account 0.2 s later            | run                      |
      | it renews its lease late    | has no lease for 0.2 s                      | run                      |
      | it took over just now       | has taken over from another 0.8 s before    | run                      |
      | it never hears              | hears of the account 5 s later              | refused as quota_unknown |
      | all is used                 | has given all that there is                 | refused as over_quota    |

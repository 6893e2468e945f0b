Feature: Client accounts' quotas on the platform's wire
  Daemons share an account's quota in tokens; each asks a keeper of a part of it.

  Scenario: An account that asks too much is told when to come back, others are not
    One account sent five times its usual: its drafts took all engines up, while the
    callers of the others were late.

    Given the whole path with 3 daemons
    When "shop" with 1000 tokens a second asks 6000 for 3 s, and "lab" a call at times
    Then "shop" got 2000 to 5000 tokens run, and 429 with when to come back
    And "lab" was never refused

  Scenario: An account below its quota is not refused, whichever daemon it calls
    Given the whole path with 3 daemons
    When "shop" with 4000 tokens a second asks 1500 for 3 s
    Then no call was refused

  Scenario: What is not run costs an account nothing
    An account's calls were refused as its service had no endpoint, and then, with the
    endpoints back, as its quota was used up by calls that nobody had run.

    Given the whole path
    When 40 calls of "shop" with 1000 tokens a second find no endpoint, and then 4 find one
    Then those 4 are answered

  Scenario Outline: A keeper that cannot tell what is left refuses nobody: <story>
    Guards against 429 for an account below its quota whose keeper lags or lost its lease.

    Given two daemons and an account with 4000 tokens a second that one of them keeps
    When a call of 200 tokens comes while the keeper <state>
    Then it is <answer>

    Examples:
      | story                       | state                                       | answer                   |
      | it knows the account        | knows the account                           | run at once              |
      | a configuration comes late  | hears of the account 0.2 s later            | run                      |
      | it renews its lease late    | has no lease for 0.2 s                      | run                      |
      | it took over just now       | has taken over from another 0.8 s before    | run                      |
      | it never hears              | hears of the account 5 s later              | refused as quota_unknown |
      | all is used                 | has given all that there is                 | refused as over_quota    |

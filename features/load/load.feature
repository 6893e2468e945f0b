Feature: What callers get under load
  A pool simulated in virtual time: the engines are modelled, the decisions are made by the
  production code.

  Scenario Outline: A short peak makes few callers late: <load> times
    Answers forecast to be a tenth of a second late were refused. Their callers came back
    two seconds later and caused the next peak.

    When a small pool is simulated at <load> times its usual load
    Then at least <share> of its callers are answered in time
    And <compared> where every late call is refused

    Examples:
      | load | share | compared                                      |
      | 1    | 0.96  | as many, with at most half as many refused as |
      | 1.5  | 0.9   | more than                                     |

  Scenario: Under a lasting overload the number of answers in time does not drop
    With every caller admitted, all waited and none was served in time.

    When a small pool is simulated at 1.5 and at 3 times its usual load
    Then at 3 times at least as many callers are answered in time as at 1.5

  Scenario: Simple policies serve fewer callers
    When a small pool is simulated at 1.5 times its usual load
    Then at least 0.05 more of its callers are answered in time than with "hashing"
    And at least 0.05 more of its callers are answered in time than with "least calls"

  Scenario: In a large pool callers are served as in a small one
    A daemon's information on an engine is half a second old there. Callers were refused,
    or waited behind sixteen others, while half of the engines were idle.

    When a large pool is simulated at its usual load
    Then at least 0.8 of its callers are answered in time
    And at least 0.05 more than where daemons do not ask before they send

  Scenario: A large pool is served as well without its relays
    All relays of a data centre were lost. Until new ones are elected, a daemon knows only
    the platform's list and the responses of owners. With other engines assumed to be as
    busy as those whose owners responded, idle ones got no calls and callers were refused.

    When a large pool is simulated with four seeds, with its relays and without
    Then at least 0.8 of its callers are answered in time without them
    And no fewer with them
    And without them at least 0.05 more than where daemons assume unknown engines to be busy

  Scenario: Load times are learned
    Loads took 0.29 s rather than 0.25 s. Each call that had waited for its adapter was
    sent too early and refused by its engine.

    When a large pool is simulated at its usual load
    Then engines refuse at most half as many calls as where nothing is learned

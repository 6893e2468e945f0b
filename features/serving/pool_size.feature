Feature: A large pool is known as such while its daemons start

  Scenario Outline: Who hears what while few daemons are listed: <story>
    All hosts of a pool of 71 restarted at once. Until 17 were listed again, each daemon
    read the store itself and told its engines' load to every other one.

    Given <before> daemons were listed <ago> s ago, and <daemons> still are
    When the store lists <endpoints> endpoints
    Then the pool counts as <size>, and <relays> of d0 are relays

    Examples:
      | story                        | before | ago  | daemons | endpoints | size  | relays |
      | a small pool                 | 16     | 5    | 16      | 48        | small | 0      |
      | a large pool                 | 17     | 5    | 17      | 1         | large | 2      |
      | all restart, endpoints known | 0      | 5    | 3       | 49        | large | 2      |
      | all restart, few endpoints   | 17     | 9.9  | 3       | 48        | large | 2      |
      | it has become a small one    | 17     | 10.1 | 3       | 48        | small | 0      |
      | one daemon is left of many   | 40     | 5    | 1       | 1         | large | 1      |

  Scenario: A pool that has become small is seen to be one where nothing else changes
    The time of the last change stood for the present time: a pool of which 20 daemons
    were taken away for good heard relays until the next belief changed.

    Given 17 daemons were listed 10.1 s ago, and 3 still are
    When a daemon follows a store that tells of nothing
    Then it takes the pool to be small, and logs that

  Scenario Outline: Many endpoints make a pool large only while a daemon starts: <seconds> s
    Guards against few daemons that hear relays for good, and settle too soon after an
    outage, as they serve many endpoints.

    Given 9 daemons and 64 endpoints listed at a daemon's start
    Then <seconds> s after its start the pool counts as <size>

    Examples:
      | seconds | size  |
      | 0       | large |
      | 2.9     | large |
      | 3.1     | small |

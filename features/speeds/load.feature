Feature: Requests under load on engines of different speeds
  A pool simulated in virtual time, as in the area load: 24 daemons that each learn from
  their own calls, and 24 engines that take 0.6, 1.0 and 1.6 times the usual time, and 2.5
  times as long during 15% of the time.

  Scenario: More requests are answered in time where speeds are learned
    Placement that assumed equal engines gave the slow ones as many prompts as the fast
    ones, and paused their streams.

    When the uneven pool is simulated with 3 seeds, with learned speeds and without
    Then with them at least 0.02 more are answered in time
    And at most 0.8 times as many streams pause too long

  Scenario: Learned speeds change nothing among equal engines
    Noise in the estimates must not move calls from one engine to another.

    When a pool of equal engines is simulated with 3 seeds, with learned speeds and without
    Then with them at most 0.01 fewer are answered in time

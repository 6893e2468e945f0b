Feature: Requests under load on engines of different speeds
  A pool in virtual time, as in the area load: 24 daemons that each learn by their own
  calls, and 24 engines of 0.6, 1.0 and 1.6 times the usual time, each of them 2.5 times
  as slow during 15% of its time.

  Scenario: More requests are answered in time where speeds are learnt
    All engines were taken to be alike: the slow ones got as many prompts as the fast
    ones, and their streams paused.

    When the uneven pool is played with 3 seeds, with learnt speeds and without
    Then with them at least 0.02 more are answered in time
    And at most 0.8 times as many streams pause too long

  Scenario: Engines that are alike are served as before
    Noise of the estimates must not move calls from one engine to another.

    When a pool of engines that are alike is played with 3 seeds, with learnt speeds and without
    Then with them at most 0.01 fewer are answered in time

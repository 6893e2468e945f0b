Feature: Reproducible histories
  Several cores, their network, the key-value service and the engines run in virtual
  time, in one thread.

  Scenario: The same seed gives the same history
    When a history of 3 daemons, 40 s and seed 5 is run twice
    Then both runs had the same results, and requests were answered

Feature: Histories replay exactly
  Several cores, their network, the service and the engines in one thread and in
  virtual time.

  Scenario: The same seed gives the same history
    When a history of 3 daemons, 40 s and seed 5 is run twice
    Then both runs saw the same, and requests were answered

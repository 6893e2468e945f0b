Feature: Ownership and grants under random faults

  Scenario: No sequence of faults violates an invariant
    When hypothesis injects faults into 25 deployments in up to 14 steps each
    Then hypothesis found no violated invariant

Feature: Owners and grants under faults that hypothesis chooses

  Scenario: No choice of faults breaks a promise
    When hypothesis breaks 25 deployments in up to 14 steps each
    Then the oracle found nothing

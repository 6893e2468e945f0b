Feature: What a quiet daemon computes each tick

  Scenario: A quiet tick hashes nothing anew
    In a pool of 70 daemons and 330 engines each daemon spent 14.7% of a core on
    nothing but ticks: at each it hashed every member for every endpoint to see
    who should own it, although no member had changed.

    Given a pool of 6 cores and 30 endpoints that has settled
    When 10 seconds pass and the list of hosts is read again
    Then no candidate was weighed for an owner
    When a member drains
    Then candidates are weighed again

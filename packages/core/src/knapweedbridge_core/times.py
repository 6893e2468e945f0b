"""Spans that the owners' safety rests on, in seconds.

Each is a bound that some other part relies on; `docs/design/owners-and-grants.md`
says which.
"""

LEASE_S = 20.0
"""Life of a daemon's lease in the service after its last renewal."""

RENEW_INTERVAL_S = 7.0
"""Pause between renewals: 0.14 calls a second a daemon."""

RETRY_INTERVAL_S = 1.0
"""Pause before a failed call is repeated."""

CALL_TIMEOUT_S = 5.0
"""After this a call without a reply is given up."""

CLOCK_MARGIN_S = 2.0
"""Most that two clocks drift apart over a lease, a tenth of it."""

ORDER_TRANSIT_S = 5.0
"""Longest way of an order from its sending to its effect."""

CONTACT_MAX_AGE_S = 6.0
"""Oldest a daemon's knowledge of who answers may be."""

QUARANTINE_S = 120.0
"""How long a name stays away from an endpoint that a late eviction may reach."""

GRANT_USE_TIMEOUT_S = 1.0
"""Longest from the asking for a grant to the start of its request."""

RECONCILE_INTERVAL_S = 10.0
"""Pause between an owner's questions to a holder about grants it keeps."""

SILENCE_TIMEOUT_S = 3.0
"""A holder that has not answered for this long is looked up in the service."""

WITNESS_TIMEOUT_S = 2.0
"""An eviction that no witness notes within this time is not ordered."""

REPORT_MAX_AGE_S = 10.0
"""Oldest report an owner works with while nothing asks for a newer one."""

REFRESH_INTERVAL_S = 5.0
"""Pause between publications of an endpoint on which nothing changed."""

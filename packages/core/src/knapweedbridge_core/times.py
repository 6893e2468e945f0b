"""Timing constants that the safety of endpoint ownership depends on, in seconds.

Other modules rely on each bound; `docs/design/owners-and-grants.md` explains how.
"""

LEASE_S = 20.0
"""Time to live of a daemon's lease in the key-value service after a renewal."""

RENEW_INTERVAL_S = 7.0
"""Interval between lease renewals: 0.14 calls per second and daemon."""

RETRY_INTERVAL_S = 1.0
"""Pause before a failed call is retried."""

CALL_TIMEOUT_S = 5.0
"""Timeout of a call to the key-value service."""

CLOCK_MARGIN_S = 2.0
"""Maximum drift between two clocks over a lease, a tenth of its time to live."""

ORDER_TRANSIT_S = 5.0
"""Maximum time between sending an order to an endpoint and its effect."""

CONTACT_MAX_AGE_S = 6.0
"""Maximum age of a daemon's information on which members respond."""

QUARANTINE_S = 120.0
"""How long a name is not loaded on an endpoint that a late eviction may still reach."""

GRANT_USE_TIMEOUT_S = 1.0
"""Maximum time between the request for a grant and the start of its request."""

RECONCILE_INTERVAL_S = 10.0
"""Interval at which an owner asks a holder which grants it still holds."""

SILENCE_TIMEOUT_S = 3.0
"""A holder silent for this long is looked up in the key-value service."""

WITNESS_TIMEOUT_S = 2.0
"""Timeout for a witness to acknowledge an eviction; without it none is sent."""

REPORT_MAX_AGE_S = 10.0
"""Maximum age of an endpoint report that an owner uses if no newer one is needed."""

REFRESH_INTERVAL_S = 5.0
"""Interval between publications of the state of an unchanged endpoint."""

"""Random histories of the mechanisms that serving's promises hang on.

Each plays the core's own code against a simple oracle in virtual time, by a seed, and
returns what broke, in words.
"""

from knapweedbridge_standins.serving_histories.answers import play_answers
from knapweedbridge_standins.serving_histories.cluster import play_beliefs
from knapweedbridge_standins.serving_histories.eras import play_eras
from knapweedbridge_standins.serving_histories.late_news import play_late_news
from knapweedbridge_standins.serving_histories.leaving import play_leaving
from knapweedbridge_standins.serving_histories.limits import play_limits
from knapweedbridge_standins.serving_histories.orders import play_orders
from knapweedbridge_standins.serving_histories.owners import play_owners
from knapweedbridge_standins.serving_histories.quotas import play_quotas
from knapweedbridge_standins.serving_histories.removed_entries import (
    play_removed_entries,
)
from knapweedbridge_standins.serving_histories.repeats import play_repeats
from knapweedbridge_standins.serving_histories.stream_origins import (
    play_lost_hosts,
    play_stream_origins,
)
from knapweedbridge_standins.serving_histories.turns import play_turns
from knapweedbridge_standins.serving_histories.versions import play_versions

HISTORIES = {
    "who orders an engine": play_owners,
    "who returns to an engine": play_turns,
    "what an engine is ordered": play_orders,
    "what is in force": play_beliefs,
    "at most once": play_repeats,
    "who is leaving": play_leaving,
    "which entries are gone": play_removed_entries,
    "who knows of it in time": play_late_news,
    "what an account uses": play_quotas,
    "which era it is": play_eras,
    "what a limited endpoint gets": play_limits,
    "what answers ask for": play_answers,
    "which version work begins on": play_versions,
    "which version began a stream": play_stream_origins,
    "which version began a stream of hosts that are lost": play_lost_hosts,
}

__all__ = [
    "HISTORIES",
    "play_answers",
    "play_beliefs",
    "play_eras",
    "play_late_news",
    "play_leaving",
    "play_limits",
    "play_lost_hosts",
    "play_orders",
    "play_owners",
    "play_quotas",
    "play_removed_entries",
    "play_repeats",
    "play_stream_origins",
    "play_turns",
    "play_versions",
]

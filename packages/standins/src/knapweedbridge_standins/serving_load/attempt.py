"""One call on its way to a modelled engine, and there."""

from typing import TYPE_CHECKING

from knapweedbridge_core.serving import (
    Endpoint,
)
from knapweedbridge_standins.serving_load.call import WAY_S, LoadCall
from knapweedbridge_standins.serving_load.engine import (
    EngineCall,
)

if TYPE_CHECKING:
    from knapweedbridge_standins.serving_load.daemon import ModelledDaemon


class ModelledAttempt:
    """One call on its way to an engine, and there."""

    def __init__(
        self, daemon: "ModelledDaemon", call: LoadCall, endpoint: Endpoint
    ) -> None:
        self._daemon = daemon
        self._pool = daemon.pool
        self._call = call
        self._endpoint = endpoint
        self._began_s = self._sent_s = self._pool.clock.now_s
        self.unread = endpoint.unread_tokens - call.prompt_tokens
        rates = self._rates = daemon.rates
        self._slot_wait_s = rates.slot_wait_s(endpoint)
        # Its own prompt is among what is unread there.
        self._forecast_s = rates.first_event_s(endpoint, 0, self._began_s)

    def go(self) -> None:
        """Send the call."""
        self._sent_s = self._pool.clock.now_s
        self._pool.clock.after(WAY_S, self._arrive)

    def _arrive(self) -> None:
        call, engine = self._call, self._endpoint.name
        if not self._pool.engines[engine].send(self._make_call()):
            refused = self._daemon.not_run
            self._pool.clock.after(WAY_S, lambda: refused(call, engine))

    def _make_call(self) -> EngineCall:
        call = self._call
        return EngineCall(
            call.model,
            call.prompt_tokens,
            call.output_tokens,
            self._first,
            self._end,
            self._pause,
        )

    def _first(self) -> None:
        now_s, call = self._pool.clock.now_s, self._call
        error_s = abs(now_s - self._began_s - self._forecast_s)
        self._pool.figures.forecast_errors_s.append(error_s)
        if not self._slot_wait_s:
            took_s = now_s - self._sent_s
            self._rates.record_first_event(
                self._endpoint, call.prompt_tokens, self.unread, took_s, now_s
            )
            self._daemon.observed.record_first_event(
                self._endpoint.start, call.prompt_tokens, self.unread, took_s
            )
        self._daemon.read(call, self._endpoint)
        self._pool.first(call)

    def _end(self) -> None:
        took_s = self._pool.clock.now_s - self._sent_s
        self._daemon.left(self._call, self._endpoint)
        self._rates.record_end(self._endpoint, took_s)
        self._pool.ended(self._call)

    def _pause(self, pause_s: float) -> None:
        self._pool.figures.pauses_s.append(pause_s)
        self._rates.record_gap(self._endpoint, pause_s)
        self._daemon.observed.record_gap(self._endpoint.start, pause_s)
        if pause_s > self._call.longest_pause_s:
            self._call.longest_pause_s = pause_s
            owner = self._pool.owners[self._endpoint.name]
            self._pool.clock.after(WAY_S, lambda: owner.record_pause(pause_s))

"""The load order: which adapter is loaded next, and where."""

from knapweedbridge_core import events, messages
from knapweedbridge_core.context import Context, Handler, Side
from knapweedbridge_core.loads import LoadOrder


class LoadSide(Side):
    """Takes what callers' sides want, and places loads with owners."""

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self.load_order = LoadOrder(context.host)

    def handlers(self) -> dict[type, Handler]:
        """See `Side.handlers`."""
        return {
            events.Tick: self._tick,
            messages.LoadWanted: self._load_wanted,
            messages.LoadEnded: self._load_ended,
        }

    def _tick(self, event: events.Tick) -> None:
        self._start_loads()

    def _load_wanted(self, message: messages.LoadWanted) -> None:
        self.load_order.wanted(message.model, message.waiters, self._context.now_s)
        self._start_loads()

    def _load_ended(self, message: messages.LoadEnded) -> None:
        self.load_order.ended(message.model, message.loaded)
        self._start_loads()

    def _start_loads(self) -> None:
        models = {
            model: self._context.configuration.base_model_of(model)
            for model in self.load_order.waiting()
            if model in self._context.configuration.versions
        }
        if not models:
            return
        placed = self.load_order.next_loads(
            self._context.engines(),
            models,
            self._context.view,
            self._context.configuration.loads_per_s,
            self._context.now_s,
        )
        for load in placed:
            self._context.send(self._context.view.endpoints[load.endpoint].owner, load)

"""One owner's orders to an engine that answers badly, late or not at all."""

import random

from knapweedbridge_core.serving import (
    BaseModel,
    EngineController,
    EngineLimits,
    EngineReport,
    ModelRef,
    Order,
    OrderAnswer,
    OrderKind,
)

PLACES = 4


class ObeyingEngine:
    """An engine that obeys orders by the published rules, and may answer badly."""

    def __init__(self, places: int) -> None:
        self.places = places
        self.sequence = 0
        self.held: dict[ModelRef, int] = {}
        self.late: list[Order] = []
        self.most = 0

    def carry_out(self, order: Order) -> OrderAnswer:
        """Carry an order out, or refuse it."""
        if order.sequence != self.sequence:
            return OrderAnswer.CONFLICT
        if order.kind is OrderKind.LOAD:
            self.held[order.model] = order.version
        else:
            self.held.pop(order.model, None)
        self.sequence += 1
        self.most = max(self.most, len(self.held))
        started = order.kind is OrderKind.LOAD
        return OrderAnswer.STARTED if started else OrderAnswer.DONE

    def report(self) -> EngineReport:
        """Return what it holds."""
        return EngineReport(self.sequence, ("m",), dict(self.held), {})


def play_history(seed: int, orders: int) -> ObeyingEngine:
    """Play one random history, and return the engine."""
    luck = random.Random(seed)
    models = {"m": BaseModel("m", 100.0, 2.9)}
    limits = EngineLimits(64, 100_000, PLACES, 120.0, 3.0, models)
    served, keeper = ObeyingEngine(PLACES), EngineController(limits)
    now_s = 100.0
    reports = [served.report()]
    for _ in range(orders):
        now_s += luck.choice([0.001, 0.02, 0.3])
        keeper.request_adapter(_adapter(luck), 0, now_s)
        if luck.random() < 0.3:
            keeper.record_calls("d", {_adapter(luck): 1}, 0, now_s)
        while served.late and luck.random() < 0.3:
            served.carry_out(served.late.pop(0))
        reports.append(served.report())
        if keeper.needs_report:
            # As old as the engine likes: some come from before the last orders.
            keeper.apply_report(luck.choice(reports[-3:]), now_s)
        order = keeper.next_order(now_s)
        if order is not None:
            _send(order, served, keeper, luck, now_s)
    return served


def _adapter(luck: random.Random) -> ModelRef:
    return ModelRef("m", f"a{luck.randrange(12)}")


def _send(
    order: Order,
    served: ObeyingEngine,
    keeper: EngineController,
    luck: random.Random,
    now_s: float,
) -> None:
    fate = luck.random()
    if fate < 0.15:
        served.late.append(order)
        keeper.answered(order, OrderAnswer.UNKNOWN, now_s)
        return
    answer = served.carry_out(order)
    lost = fate < 0.3
    keeper.answered(order, OrderAnswer.UNKNOWN if lost else answer, now_s)


def play_orders(seed: int, orders: int = 400) -> list[str]:
    """Return how an engine was overfilled, or left without orders."""
    served = play_history(seed, orders)
    broken = []
    if served.most > served.places:
        broken.append(f"{served.most} adapters in {served.places} places")
    if served.sequence <= orders / 20:
        broken.append(f"only {served.sequence} orders were carried out")
    return broken

"""Runs seeded histories of the configuration until one breaks a promise."""

from dataclasses import dataclass

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from knapweedbridge_standins.configuration_history import HOSTS, ConfigurationHistory

STEPS = 40


@dataclass(slots=True)
class Outcome:
    """What a run of histories came to.

    Parameters
    ----------
    histories : int
        Histories begun.
    virtual_s : float
        Virtual time of those that ended, broken or not.
    broken : str
        What broke first; empty where nothing did.
    reached : bool
        Whether a written history came to what it is about.
    """

    histories: int = 0
    virtual_s: float = 0.0
    broken: str = ""
    reached: bool = True


def run_configuration(first_seed: int, histories: int) -> Outcome:
    """Run histories by hypothesis from a seed, without shrinking what breaks."""
    outcome = Outcome()

    class Counted(ConfigurationHistory):
        def __init__(self) -> None:
            outcome.histories += 1
            super().__init__()

        def teardown(self) -> None:
            try:
                super().teardown()
            finally:
                outcome.virtual_s += self.now_s

    bounds = settings(
        database=None,
        deadline=None,
        max_examples=histories,
        stateful_step_count=STEPS,
        phases=[Phase.generate],
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
    )
    try:
        run_state_machine_as_test(seed(first_seed)(Counted), settings=bounds)
    except Exception as error:  # noqa: BLE001
        # A fault put back may break anything; whatever ends a history counts.
        outcome.broken = f"{type(error).__name__}: {error}".splitlines()[0]
    return outcome


def run_overtaken() -> Outcome:
    """Run the history in which a delta comes to a daemon that went on meanwhile.

    One daemon asks for the changes since generation 1, and takes generation 2
    from the service before they come. The peer went from 1 to 3 at once, where
    3 undoes what 2 changed: its changes do not name that, and give mixed
    contents on any base but the one asked for.
    """
    history = ConfigurationHistory()
    outcome = Outcome(1)
    try:
        outcome.reached = _overtake(history)
        history.contents_were_accepted()
        history.teardown()
    except Exception as error:  # noqa: BLE001
        outcome.broken = f"{type(error).__name__}: {error}".splitlines()[0]
    outcome.virtual_s = history.now_s
    return outcome


def _overtake(history: ConfigurationHistory) -> bool:
    asking, giving, apart = HOSTS
    history.apply(asking, 0, 0)
    for host in HOSTS:
        history.read(host)
    history.time_passes(4)
    history.cut({asking, apart})
    history.cut({giving, apart})
    history.apply(asking, 5, 0)
    history.begin_slow_read(asking)
    history.read(apart)
    history.apply(apart, 1, 0)
    history.delay(giving)
    history.read(giving)
    history.time_passes(1)
    history.end_slow_read(asking)
    held = [history.bridges[host].configuration.generation for host in HOSTS]
    history.arrive()
    return held == [2, 3, 2]

"""Runs seeded histories of the configuration until one breaks a promise."""

from dataclasses import dataclass

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from knapweedbridge_standins.configuration_history import ConfigurationHistory

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
    """

    histories: int = 0
    virtual_s: float = 0.0
    broken: str = ""


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

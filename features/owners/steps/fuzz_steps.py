from behave import then, when
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from knapweedbridge_standins.history import World
from knapweedbridge_standins.history.faults import FAULTS


class Owners(RuleBasedStateMachine):
    """Inject faults and send requests; the world's checker tests the invariants."""

    @initialize(seed=st.integers(0, 1000), checks=st.booleans())
    def begin(self, seed, checks):
        self.world = World(
            seed, daemons=3, adapters=10, checks_fencing=checks, stream_s=1.0
        )
        self.world.load(5.0, 10_000.0)
        self.world.run(12.0)

    @rule(name=st.sampled_from(sorted(FAULTS)))
    def inject_fault(self, name):
        FAULTS[name](self.world, self.world.rng)

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0, 20.0]))
    def pass_time(self, seconds):
        self.world.run(self.world.now_s + seconds)

    @rule(model=st.integers(0, 9), daemon=st.integers(0, 2))
    def send_requests(self, model, daemon):
        hosts = self.world.live()
        if hosts:
            host = hosts[daemon % len(hosts)]
            for _ in range(5):
                self.world.ask(host, self.world.models[model])

    @invariant()
    def invariants_hold(self):
        if hasattr(self, "world"):
            assert not self.world.checker.violations, self.world.checker.violations


@when(
    "hypothesis injects faults into {examples:d} deployments "
    "in up to {steps:d} steps each"
)
def fuzz(context, examples, steps):
    context.violation = ""
    fuzz_settings = settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    try:
        run_state_machine_as_test(Owners, settings=fuzz_settings)
    except AssertionError as error:
        context.violation = str(error)


@then("hypothesis found no violated invariant")
def no_violation(context):
    assert not context.violation, context.violation

from pathlib import Path

from behave import then, when

from knapweedbridge_core.configuration import build
from knapweedbridge_core.folder import merge_folder

EXAMPLES = Path(__file__).parents[3] / "examples"


@when('the folder of example "{name}" is merged')
def merged(context, name):
    files = [(path.name, path.read_text()) for path in (EXAMPLES / name).glob("*.ini")]
    context.built, faults = build(1, merge_folder(files))
    assert not faults, faults


@then(
    "it holds {adapters:d} adapters, {engines:d} engines of {slots:d} slots in all"
    " and {centres:d} data centres"
)
def sizes(context, adapters, engines, slots, centres):
    assert len(context.built.adapters) == len(context.built.versions) == adapters
    found = [e for e in context.built.endpoints.values() if e.kind == "engine"]
    assert len(found) == engines
    assert sum(engine.slots for engine in found) == slots
    assert len({engine.data_centre for engine in found}) == centres


@then("it weighs {weigh:g} at {rate:g} loads a second")
def weighs(context, weigh, rate):
    assert context.built.placement.weigh == weigh
    assert context.built.loads_per_s == rate

from behave import given, then, when
from claim_steps import word_of

from knapweedbridge_core.configuration import KeyEntry, build
from knapweedbridge_core.outcomes import Complete
from knapweedbridge_core.rules import WithoutKey
from knapweedbridge_daemon.catalogue import Catalogue

SECTIONS = {
    "team berths": {},
    "team others": {},
    "service receipts": {
        "team": "berths",
        "path": "/receipts",
        "non_idempotent": "yes",
    },
    "service invoices": {"team": "berths", "path": "/invoices"},
    "service other": {"team": "others", "path": "/other"},
    "adapter tariff": {"team": "berths", "base_model": "mekong-7b"},
    "version tariff@1": {},
    "application pilotage": {
        "team": "berths",
        "model": "tariff@1",
        "non_idempotent": "yes",
    },
}
FLAGS = {"yes": True, "no": False}


@given('the service "receipts" at /receipts and the rules')
def rules(context):
    sections = dict(SECTIONS)
    for row in context.table:
        items = {key: value for key, value in row.items() if value}
        sections[f"rule {items.pop('name')}"] = items
    configuration, faults = build(1, sections)
    assert not faults, faults
    key = KeyEntry("cashier", "berths", "administrator", "")
    context.catalogue = Catalogue(configuration, key)


@when('"{call}" is judged')
def judged(context, call):
    word, name = call.split()
    catalogue = context.catalogue
    if word == "model":
        context.ruling = catalogue.judge_model(catalogue.target(name))
    else:
        service = catalogue.service(name)
        context.ruling = catalogue.judge_call(service, word, name)


@then('it may run only once: {once}, and without a key: "{without}"')
def ruling_is(context, once, without):
    found = context.ruling
    assert found.non_idempotent is FLAGS[once], found
    assert found.without_key == without, found


@when('a receipt without a key comes to host-0 under "{without}"')
def without_key(context, without):
    world = context.world
    context.asked_s = world.now_s
    world.ask("first", "host-0", "", without_key=WithoutKey(without))


@then('it is told "{told}" within {within:g} s, and it ran {runs:d} times')
def told_within(context, told, within, runs):
    world = context.world
    world.run_until(context.asked_s + within)
    assert word_of(world.told.get("first")) == told, world.told
    world.store = "up"
    world.run_until(world.now_s + 20)
    assert world.runs["first"] == runs, world.runs


@when('two equal receipts without a key come under "{without}"')
def two_without_key(context, without):
    for name in ("first", "second"):
        context.world.ask(name, "host-0", "", without_key=WithoutKey(without))
    context.world.run_until(context.world.now_s + 5)


@then("both are answered, and both ran")
def both_ran(context):
    world = context.world
    assert world.runs == {"first": 1, "second": 1}, world.runs
    assert all(isinstance(told, Complete) for told in world.told.values())

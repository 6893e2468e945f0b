from behave import given, then, when
from claim_steps import describe

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


@when('the rules are applied to "{call}"')
def apply_rules(context, call):
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


@when('a request without a key is sent through host-0 under "{without}"')
def without_key(context, without):
    deployment = context.deployment
    context.asked_s = deployment.now_s
    deployment.send_request("first", "host-0", "", without_key=WithoutKey(without))


@then('it gets "{told}" within {within:g} s, and it ran {runs:d} times')
def outcome_within(context, told, within, runs):
    deployment = context.deployment
    deployment.run_until(context.asked_s + within)
    assert describe(deployment.outcomes.get("first")) == told, deployment.outcomes
    deployment.store = "up"
    deployment.run_until(deployment.now_s + 20)
    assert deployment.runs["first"] == runs, deployment.runs


@when('two equal requests without a key arrive under "{without}"')
def two_without_key(context, without):
    for name in ("first", "second"):
        context.deployment.send_request(
            name, "host-0", "", without_key=WithoutKey(without)
        )
    context.deployment.run_until(context.deployment.now_s + 5)


@then("both are answered, and both ran")
def both_ran(context):
    deployment = context.deployment
    assert deployment.runs == {"first": 1, "second": 1}, deployment.runs
    assert all(
        isinstance(outcome, Complete) for outcome in deployment.outcomes.values()
    )

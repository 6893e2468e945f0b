import os
import re

import anyio
import httpx
from behave import given, then, when
from standins import header
from stories import played
from whole_path import NO_TLS, configuration

from knapweedbridge_core.serving import revision_of


def account(name, *keys, **fields):
    return {"name": name, "api_keys": list(keys), **fields}


def valid_accounts():
    return [account("shop", "k-shop", priority=3), account("lab", "k-lab")]


async def put_accounts(path, accounts, version):
    path.store.put("op/config", configuration(version, accounts=accounts))
    await path.until(
        lambda: (
            any(
                line.get("belief") == "DeploymentNamed"
                and line.get("key") == "op/config"
                for line in path.lines()
            )
            and is_in_force(path)
        ),
        "the accounts are in force",
    )


async def put_valid_accounts(path):
    await put_accounts(path, valid_accounts(), 2)


def is_in_force(path):
    named = [
        line["revision"]
        for line in path.lines()
        if line.get("belief") == "DeploymentNamed"
    ]
    return named and revision_of(named[-1]) == path.store.items["op/config"][1]


@given(
    'the accounts "{a}" with key "{ka}" and rank {rank:d}, and "{b}" with key "{kb}"'
)
def accounts_named(context, a, ka, rank, b, kb):
    assert valid_accounts() == [account(a, ka, priority=rank), account(b, kb)]


def shown_headers(shown):
    """Return the Authorization lines for a row of the table."""
    if shown == "nothing":
        return []
    if shown == "the keys of both accounts":
        return ["Bearer k-shop", "Bearer k-lab"]
    long_key = re.fullmatch(r"a key of (\d+) letters", shown)
    return ["Bearer " + "k" * int(long_key[1])] if long_key else [shown.strip('"')]


async def call(path, target, authorizations, client=None, daemon=0, **headers):
    call_id = f"id-{os.urandom(4).hex()}"
    pairs = [("Host", "shop.example"), ("Request-Id", call_id), ("Deadline-Ms", "4000")]
    pairs += [("Authorization", value) for value in authorizations]
    pairs += [(name.replace("_", "-"), value) for name, value in headers.items()]
    url = f"http://127.0.0.1:{path.ports[daemon][0]}{target}"
    if client is not None:
        return await client.get(url, headers=pairs)
    async with httpx.AsyncClient(timeout=8, verify=NO_TLS) as own:
        return await own.get(url, headers=pairs)


def ran(path):
    return [request for desk in path.desks for request in desk.requests]


@when("a call of {target} comes with {shown}")
@played(begin=put_valid_accounts)
async def call_comes(context, path, target, shown):
    context.response = await call(path, target, shown_headers(shown))


@then('it ends with {status:d}, and endpoints ran it for "{name}"')
def ended_for(context, status, name):
    assert context.response.status_code == status, context.response
    found = [header(request, "Tenant") for request in ran(context.path)]
    expected = [] if status != 200 else [None if name == "nobody" else name]
    assert found == expected, found


@when('a call comes with the key "{key}" that names the account "{other}" itself')
@played(begin=put_valid_accounts)
async def names_another(context, path, key, other):
    context.response = await call(path, "/look/1", [f"Bearer {key}"], Tenant=other)


@then('the endpoint got the account "{name}" alone, rank {rank:d} and no key')
def got_account(context, name, rank):
    assert context.response.status_code == 200, context.response
    (request,) = ran(context.path)
    pairs = [(k.lower(), v.decode()) for k, v in request.head.headers]
    assert [v for k, v in pairs if k == b"tenant"] == [name], pairs
    assert [v for k, v in pairs if k == b"request-priority"] == [str(rank)], pairs
    assert not [v for k, v in pairs if "k-shop" in v], pairs


@then('no log line holds "{text}"')
def no_line_holds(context, text):
    assert any(line.get("account") == "shop" for line in context.lines)
    assert not [line for line in context.lines if text in str(line)]


@when('the key "{old}" is replaced by "{new}", {where}')
@played(begin=put_valid_accounts)
async def key_replaced(context, path, old, new, where):
    async with httpx.AsyncClient(timeout=8, verify=NO_TLS) as client:
        kept = client if where == "on an open connection" else None
        assert (await call(path, "/look/1", [f"Bearer {old}"], kept)).status_code == 200
        changed = [account("shop", new, priority=3), account("lab", "k-lab")]
        path.store.put("op/config", configuration(3, accounts=changed))
        for _ in range(4):
            # A connection that idles for 2 s is closed, as the configuration says.
            await anyio.sleep(0.5)
            await call(path, "/look/1", ["Bearer k-lab"], kept)
        context.statuses = {
            key: (await call(path, "/look/1", [f"Bearer {key}"], kept)).status_code
            for key in (old, new)
        }


@then('within 2 s "{old}" gets {refused:d} and "{new}" {answered:d}')
def keys_in_force(context, old, refused, new, answered):
    assert context.statuses == {old: refused, new: answered}, context.statuses


@when("the store has been unreachable for {seconds:f} s")
@played(begin=put_valid_accounts)
async def store_away(context, path, seconds):
    path.store.down = True
    await anyio.sleep(seconds)
    context.answers = {
        key: await call(path, "/look/1", [f"Bearer {key}"])
        for key in ("k-shop", "k-none")
    }


@when("the operator writes accounts with {fault}")
@played(begin=put_valid_accounts)
async def faulty_accounts(context, path, fault):
    faulty = {
        "a key of two accounts": [account("shop", "k"), account("lab", "k")],
        "a duplicate name": [account("shop", "k1"), account("shop", "k2")],
        "an unknown unit": [account("shop", "k", unit="pages", rate_per_s=1)],
        "a negative rate": [account("shop", "k", rate_per_s=-1)],
        "no name": [account("", "k")],
    }[fault]
    path.store.put("op/config", configuration(3, accounts=faulty))
    await path.until(
        lambda: [x for x in path.lines() if x["message_type"] == "store.unreadable"],
        "the fault is logged",
    )
    context.answers = {"k-shop": await call(path, "/look/1", ["Bearer k-shop"])}


@then("the fault is logged")
def fault_logged(context):
    (line,) = [
        line for line in context.lines if line["message_type"] == "store.unreadable"
    ]
    assert line["key"] == "op/config", line


@then('a call with the key "{key}" ends with {status:d}')
def key_ends_with(context, key, status):
    assert context.answers[key].status_code == status, context.answers


@then('a call with the key "{key}" ends with {status:d} and has a Retry-After')
def key_comes_back(context, key, status):
    key_ends_with(context, key, status)
    assert float(context.answers[key].headers["Retry-After"]) > 0

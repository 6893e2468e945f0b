"""Measures what a client account costs a daemon a call: its key, and its quota."""

import json
import time
from collections.abc import Callable
from pathlib import Path

from knapweedbridge_core.codec import decode, encode, unpacker
from knapweedbridge_core.key_digests import bearer_key_digest, digest_key
from knapweedbridge_core.serving import (
    Accounts,
    ClientAccount,
    Quota,
    QuotaBalance,
    QuotaBucket,
    QuotaTolerance,
    QuotaUnit,
    split,
)
from knapweedbridge_core.serving.messages import QuotaRequest, QuotaResponse

CALLS = 50_000
ACCOUNTS = 1_000
CALL_UNITS = 1_500
RESULT = Path(__file__).parent / "results" / "accounts.json"


def cost_us(work: Callable[[int], None]) -> float:
    """Return the microseconds that one of many calls takes."""
    began_s = time.process_time()
    for number in range(CALLS):
        work(number)
    return round((time.process_time() - began_s) / CALLS * 1e6, 2)


def over_the_wire(sent: object) -> None:
    """Encode a message and decode it, as sender and hearer do."""
    reader = unpacker()
    reader.feed(encode(sent))
    for row in reader:
        decode(row)


def main() -> None:
    """Write the figures, and print them."""
    accounts = Accounts(
        ClientAccount(f"account-{n}", (digest_key(f"key-{n}"),))
        for n in range(ACCOUNTS)
    )
    quota = Quota(QuotaUnit.TOKENS, 1e9, 1e9)
    part = split(quota, QuotaTolerance(), 12)
    purse, bucket = QuotaBalance(), QuotaBucket(0.0)

    def look_up(number: int) -> None:
        digest = bearer_key_digest(f"Bearer key-{number % ACCOUNTS}")
        accounts.by_key_digest(digest)

    def spend_held(number: int) -> None:
        now_s = number / 1e4
        purse.record_use(CALL_UNITS, now_s)
        purse.put(CALL_UNITS, now_s)
        purse.spend(CALL_UNITS, now_s)

    def ask(number: int) -> None:
        over_the_wire(QuotaRequest("account-1", CALL_UNITS, 0, 0))
        given = bucket.give(part, CALL_UNITS, 0, 0, 1.0 + number / 1e4)
        over_the_wire(QuotaResponse("account-1", given.units, given.wait_s))

    figures = {
        "key_us": cost_us(look_up),
        "spend_held_us": cost_us(spend_held),
        "ask_and_give_us": cost_us(ask),
    }
    RESULT.write_text(json.dumps(figures, indent=2) + "\n", encoding="utf-8")
    print(figures)


if __name__ == "__main__":
    main()

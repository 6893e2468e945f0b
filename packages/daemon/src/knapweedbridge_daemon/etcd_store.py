"""The key-value service spoken to by etcd's published JSON gateway."""

import base64
import json
from collections.abc import AsyncGenerator
from typing import Any

import httpx

from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.plain_transport import GuardedTransport
from knapweedbridge_daemon.store import KeyValueStore, Transaction


def _encode(data: str | bytes) -> str:
    raw = data.encode() if isinstance(data, str) else data
    return base64.b64encode(raw).decode()


def _decode(text: str) -> bytes:
    return base64.b64decode(text)


def _prefix_end(prefix: str) -> str:
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


class EtcdStore(KeyValueStore):
    """The service spoken to by etcd's published v3 JSON gateway.

    Parameters
    ----------
    url : str
        Base URL of the gateway.
    timeout_s : float
        Bound on each call but a watch.
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._client = httpx.AsyncClient(
            base_url=url, transport=GuardedTransport(), timeout=timeout_s
        )

    async def _call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        try:
            response = await self._client.post(path, json=body)
            response.raise_for_status()
            return response.json()
        except httpx.ConnectError as error:
            raise StoreError(f"{path}: {error!r}") from error
        except (httpx.HTTPError, ValueError) as error:
            raise StoreError(f"{path}: {error!r}", may_have_applied=True) from error

    async def read(self, key: str) -> tuple[bytes, int] | None:
        """See `KeyValueStore.read`."""
        found = await self._call("/v3/kv/range", {"key": _encode(key)})
        for pair in found.get("kvs", []):
            return _decode(pair.get("value", "")), int(pair["mod_revision"])
        return None

    async def read_prefix(self, prefix: str) -> dict[str, tuple[bytes, int]]:
        """See `KeyValueStore.read_prefix`."""
        body = {"key": _encode(prefix), "range_end": _encode(_prefix_end(prefix))}
        found = await self._call("/v3/kv/range", body)
        return {
            _decode(pair["key"]).decode(): (
                _decode(pair.get("value", "")),
                int(pair["mod_revision"]),
            )
            for pair in found.get("kvs", [])
        }

    async def write(self, transaction: Transaction) -> bool:
        """See `KeyValueStore.write`."""
        compare = [
            {
                "key": _encode(key),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(revision),
            }
            for key, revision in transaction.compares.items()
        ]
        puts = [
            {
                "request_put": {
                    "key": _encode(key),
                    "value": _encode(value),
                    "lease": transaction.lease or "0",
                }
            }
            for key, value in transaction.puts.items()
        ]
        deletes = [
            {"request_delete_range": {"key": _encode(key)}}
            for key in transaction.deletes
        ]
        body = {"compare": compare, "success": puts + deletes}
        answer = await self._call("/v3/kv/txn", body)
        return bool(answer.get("succeeded", False))

    async def grant_lease(self, ttl_s: float) -> str:
        """See `KeyValueStore.grant_lease`."""
        answer = await self._call("/v3/lease/grant", {"TTL": str(max(1, int(ttl_s)))})
        return str(answer["ID"])

    async def keep_lease(self, lease: str) -> float:
        """See `KeyValueStore.keep_lease`."""
        answer = await self._call("/v3/lease/keepalive", {"ID": lease})
        return float(answer["result"].get("TTL", 0))

    async def watch(self, prefix: str, revision: int) -> AsyncGenerator[str, None]:
        """See `KeyValueStore.watch`."""
        body = {
            "create_request": {
                "key": _encode(prefix),
                "range_end": _encode(_prefix_end(prefix)),
                "start_revision": str(revision + 1),
            }
        }
        timeout = httpx.Timeout(self._client.timeout.connect, read=None)
        try:
            async with self._client.stream(
                "POST", "/v3/watch", json=body, timeout=timeout
            ) as response:
                response.raise_for_status()
                async for line in response.aiter_lines():
                    for event in json.loads(line)["result"].get("events", []):
                        yield _decode(event["kv"]["key"]).decode()
        except (httpx.HTTPError, ValueError) as error:
            raise StoreError(f"watch: {error!r}") from error

    async def close(self) -> None:
        """See `KeyValueStore.close`."""
        await self._client.aclose()

"""The small deployment that the quick start and the whole runs use."""

import hashlib
import socket
from dataclasses import dataclass
from typing import Any

ADMINISTRATOR_KEY = "administrator-key-of-the-example"
CALLER_KEY = "caller-key-of-the-example"
PEER_SECRET = "peer-secret-of-the-example"
PORT_STEP = 200
PORT_BLOCKS = 20


@dataclass(slots=True)
class Example:
    """Addresses and sizes of an example deployment on loopback.

    Parameters
    ----------
    base_port : int
        Ports are taken upwards from here.
    plains : int
        Instances of the plain service, at most 6.
    forward : int
        Added to the ports by which endpoints and peers are reached, so that a
        forwarder may stand before each; 0: they are reached as they are.
    checking : int
        The first so many engines refuse an old fencing number.
    """

    base_port: int
    daemons: int = 3
    engines: int = 2
    adapters: int = 12
    slots: int = 4
    batch: int = 16
    ip: str = "127.0.0.1"
    plains: int = 1
    forward: int = 0
    checking: int = 0

    def address(self, place: int) -> str:
        """Return the address of a place; one process takes up to three."""
        return f"{self.ip}:{self.base_port + place}"

    @property
    def key_value(self) -> str:
        """Address of the key-value service."""
        return self.address(0)

    @property
    def host_list(self) -> str:
        """Address of the list of hosts."""
        return self.address(1)

    @property
    def weight_store(self) -> str:
        """Address of the weight store."""
        return self.address(2)

    @property
    def plain(self) -> str:
        """Address of the first instance of the plain service."""
        return self.plain_instance(0)

    def plain_instance(self, place: int) -> str:
        """Return the address of an instance of the plain service."""
        return self.address(3 + place)

    def reached(self, address: str) -> str:
        """Return the address by which an endpoint or a peer is reached."""
        ip, _, port = address.rpartition(":")
        return f"{ip}:{int(port) + self.forward}"

    def listened(self) -> list[str]:
        """Return all addresses that the processes listen on."""
        places = [self.key_value, self.host_list, self.weight_store]
        places += [self.plain_instance(place) for place in range(self.plains)]
        places += [self.engine(place) for place in range(self.engines)]
        for place in range(self.daemons):
            places += [self.callers(place), self.administration(place)]
            places.append(self.peers(place))
        return places

    def engine(self, place: int) -> str:
        """Return the address of an engine."""
        return self.address(10 + place)

    def callers(self, place: int) -> str:
        """Return the callers' face of a daemon."""
        return self.address(50 + 3 * place)

    def administration(self, place: int) -> str:
        """Return the operators' face of a daemon."""
        return self.address(51 + 3 * place)

    def peers(self, place: int) -> str:
        """Return the peers' address of a daemon."""
        return self.address(52 + 3 * place)

    @staticmethod
    def data_centre(place: int) -> str:
        """Return the data centre of a daemon or an engine."""
        return f"dc{1 + place % 2}"

    def taken(self) -> list[str]:
        """Return the addresses that other processes listen on."""
        return [address for address in self.listened() if not _is_free(address)]

    def settings(self, place: int, secret_file: str) -> str:
        """Return the settings of a daemon as INI text."""
        return f"""
[host]
name = host-{place}
data_centre = {self.data_centre(place)}

[listen]
callers = {self.callers(place)}
administration = {self.administration(place)}
peers = {self.peers(place)}
first_key_hash = {hash_text(ADMINISTRATOR_KEY)}

[platform]
key_value = http://{self.key_value}
host_list = http://{self.host_list}/hosts
poll_s = 0.5

[peers]
secret_file = {secret_file}
heartbeat_s = 0.2
"""

    def listed_hosts(self) -> list[dict[str, object]]:
        """Return the lines of the platform's list."""
        return [
            {
                "name": f"host-{place}",
                "kind": "daemon",
                "data_centre": self.data_centre(place),
                "address": self.reached(self.peers(place)),
                "leaving": False,
            }
            for place in range(self.daemons)
        ]

    def model(self, place: int) -> str:
        """Return an adapter version."""
        return f"refill-{place}@1"

    @property
    def receipts_model(self) -> str:
        """Return what the application of receipts runs on."""
        return self.model(min(1, self.adapters - 1))

    def folder(self) -> dict[str, str]:
        """Return the operators' folder."""
        return {
            "10-teams.ini": self._teams(),
            "20-adapters.ini": self._adapters(),
            "30-routes.ini": self._routes(),
            "40-endpoints.ini": self._endpoints(),
        }

    @staticmethod
    def _teams() -> str:
        return f"""
[team optics]

[key operations]
team = optics
role = administrator
hash = {hash_text(ADMINISTRATOR_KEY)}

[key counter]
team = optics
hash = {hash_text(CALLER_KEY)}
"""

    def _adapters(self) -> str:
        return "".join(
            f"[adapter refill-{place}]\nteam = optics\nbase_model = namib-7b\n"
            f"[version {self.model(place)}]\n"
            for place in range(self.adapters)
        )

    def _routes(self) -> str:
        return f"""
[application reminders]
team = optics
model = {self.model(0)}

[application receipts]
team = optics
model = {self.receipts_model}
non_idempotent = yes

[service orders]
team = optics
path = /orders
non_idempotent = yes

[weight_store]
loads_per_s = 4
"""

    def _endpoints(self) -> str:
        engines = "".join(
            f"""
[endpoint draft-{place}]
address = {self.reached(self.engine(place))}
data_centre = {self.data_centre(place)}
base_model = namib-7b
slots = {self.slots}
batch = {self.batch}
checks_fencing = {"yes" if place < self.checking else "no"}
"""
            for place in range(self.engines)
        )
        plains = "".join(
            f"""
[endpoint counter-{place}]
kind = service
service = orders
address = {self.reached(self.plain_instance(place))}
data_centre = {self.data_centre(place)}
"""
            for place in range(self.plains)
        )
        return engines + plains


def hash_text(text: str) -> str:
    """Return the SHA-256 of a key, as a folder holds it."""
    return hashlib.sha256(text.encode()).hexdigest()


def find_free_example(base_port: int, **sizes: Any) -> Example:
    """Return an example of these sizes on the first block of free ports.

    Raises
    ------
    OSError
        If every block has a port that another process listens on.
    """
    last = base_port + PORT_STEP * PORT_BLOCKS
    for first in range(base_port, last, PORT_STEP):
        example = Example(first, **sizes)
        if not example.taken():
            return example
    raise OSError(f"no free block of ports on loopback from {base_port} to {last}")


def _is_free(address: str) -> bool:
    ip, _, port = address.rpartition(":")
    with socket.socket() as tried:
        tried.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            tried.bind((ip, int(port)))
        except OSError:
            return False
    return True

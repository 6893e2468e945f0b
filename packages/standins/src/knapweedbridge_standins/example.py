"""The small deployment that the quick start and the whole runs use."""

import hashlib
from dataclasses import dataclass, field

ADMINISTRATOR_KEY = "administrator-key-of-the-example"
CALLER_KEY = "caller-key-of-the-example"
PEER_SECRET = "peer-secret-of-the-example"


@dataclass(slots=True)
class Example:
    """Addresses and sizes of an example deployment on loopback.

    Parameters
    ----------
    base_port : int
        Ports are taken upwards from here.
    """

    base_port: int
    daemons: int = 3
    engines: int = 2
    adapters: int = 12
    slots: int = 4
    ip: str = "127.0.0.1"
    names: list[str] = field(default_factory=list)

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
        """Address of the plain service."""
        return self.address(3)

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
                "address": self.peers(place),
                "leaving": False,
            }
            for place in range(self.daemons)
        ]

    def model(self, place: int) -> str:
        """Return an adapter version."""
        return f"refill-{place}@1"

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
address = {self.engine(place)}
data_centre = {self.data_centre(place)}
base_model = namib-7b
slots = {self.slots}
"""
            for place in range(self.engines)
        )
        return f"""{engines}
[endpoint counter-0]
kind = service
service = orders
address = {self.plain}
data_centre = dc1
"""


def hash_text(text: str) -> str:
    """Return the SHA-256 of a key, as a folder holds it."""
    return hashlib.sha256(text.encode()).hexdigest()

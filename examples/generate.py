"""Writes the folders of the two example deployments anew.

The folders are committed; run this only to change them.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

HERE = Path(__file__).parent
ADAPTERS = 3000
DATA_CENTRES = 3


@dataclass(slots=True, frozen=True)
class Application:
    """An application, the team that owns it, and how it is served."""

    name: str
    team: str
    priority: str


@dataclass(slots=True, frozen=True)
class Service:
    """A plain service of several instances."""

    name: str
    team: str
    path: str
    non_idempotent: bool
    without_key: str = ""


@dataclass(slots=True, frozen=True)
class Shape:
    """One deployment."""

    name: str
    site: str
    base_model: str
    weigh: str
    loads_per_s: int
    engines: int
    slots: int
    plain: int
    plain_name: str
    applications: tuple[Application, ...]
    services: tuple[Service, ...]


OKAVANGO = Shape(
    "okavango",
    "khomas",
    "namib-7b",
    "stalls",
    3,
    6,
    12,
    3,
    "counter",
    (
        Application("refill", "subscriptions", "normal"),
        Application("history", "optometrists", "batch"),
        Application("fitting", "optometrists", "normal"),
        Application("counter", "stores", "interactive"),
    ),
    (
        Service("orders", "stores", "/orders", True, "refuse_when_store_down"),
        Service("stock", "stores", "/stock", False),
    ),
)
CHAOPHRAYA = Shape(
    "chaophraya",
    "thai-east",
    "mekong-7b",
    "batches",
    4,
    9,
    11,
    3,
    "billing",
    (
        Application("tariff", "assessment", "normal"),
        Application("dispute", "assessment", "normal"),
        Application("pilotage", "billing", "batch"),
    ),
    (
        Service("receipts", "billing", "/receipts", True, "refuse"),
        Service("invoices", "billing", "/invoices", False),
    ),
)


def files(shape: Shape) -> dict[str, str]:
    """Return the files of a folder by name."""
    return {
        "10-teams.ini": "\n".join(teams(shape)),
        "20-adapters.ini": "\n".join(adapters(shape)),
        "30-applications.ini": "\n".join(applications(shape)),
        "40-endpoints.ini": "\n".join(endpoints(shape)),
        "50-placement.ini": "\n".join(placement(shape)),
    }


def teams(shape: Shape) -> Iterator[str]:
    """Write the teams."""
    yield "; Who owns adapters, applications and services."
    for team in sorted({a.team for a in shape.applications}):
        yield f"[team {team}]\nshare = 1\n"
    for team in sorted({s.team for s in shape.services}):
        if team not in {a.team for a in shape.applications}:
            yield f"[team {team}]\nshare = 1\n"


def adapters(shape: Shape) -> Iterator[str]:
    """Write the adapters, each with its first version."""
    yield f"; {ADAPTERS} adapters of one base model."
    for number in range(ADAPTERS):
        owner = shape.applications[number % len(shape.applications)]
        name = f"{owner.name}-{number:04}"
        yield f"[adapter {name}]\nteam = {owner.team}\nbase_model = {shape.base_model}"
        yield f"[version {name}@1]\n"


def applications(shape: Shape) -> Iterator[str]:
    """Write the routes from applications, and the plain services."""
    for number, owner in enumerate(shape.applications):
        yield (
            f"[application {owner.name}]\nteam = {owner.team}\n"
            f"model = {owner.name}-{number:04}@1\npriority = {owner.priority}\n"
        )
    for service in shape.services:
        flag = "yes" if service.non_idempotent else "no"
        yield (
            f"[service {service.name}]\nteam = {service.team}\n"
            f"path = {service.path}\nnon_idempotent = {flag}\n"
        )
        if service.without_key:
            yield (
                f"[rule {service.name}]\nteam = {service.team}\n"
                f"service = {service.name}\nwithout_key = {service.without_key}\n"
            )


def endpoints(shape: Shape) -> Iterator[str]:
    """Write the engines and the instances of the plain services."""
    yield "; Documentation addresses: replace them by the endpoints' own."
    for number in range(shape.engines):
        centre = number % DATA_CENTRES
        yield (
            f"[endpoint draft-{number}]\naddress = 192.0.2.{10 + number}:8000\n"
            f"data_centre = {shape.site}-{centre + 1}\n"
            f"base_model = {shape.base_model}\n"
            f"slots = {shape.slots}\nbatch = 16\n"
        )
    for number in range(shape.plain):
        for place, service in enumerate(shape.services):
            yield (
                f"[endpoint {shape.plain_name}-{service.name}-{number}]\n"
                f"kind = service\nservice = {service.name}\n"
                f"address = 192.0.2.{40 + number}:{9000 + place}\n"
                f"data_centre = {shape.site}-{number + 1}\n"
            )


def placement(shape: Shape) -> Iterator[str]:
    """Write what weighs more, and the weight store's limit."""
    yield f"[weight_store]\nloads_per_s = {shape.loads_per_s}\n"
    yield f"; See docs/placement.md.\n[placement]\nweigh = {shape.weigh}\n"


def main() -> None:
    """Write both folders."""
    for shape in (OKAVANGO, CHAOPHRAYA):
        folder = HERE / shape.name
        folder.mkdir(exist_ok=True)
        for name, text in files(shape).items():
            (folder / name).write_text(text)


if __name__ == "__main__":
    main()

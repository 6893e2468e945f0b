"""Which sections a team's operator sees and may change.

A team owns its adapters with their versions, its applications, its services,
its rules and its keys. All else, among it every administrator's key, is
administrators'.
"""

from knapweedbridge_core.configuration import Sections
from knapweedbridge_core.differences import compare
from knapweedbridge_core.faults import Fault

TEAM_KINDS = frozenset({"adapter", "application", "service", "rule", "key"})
OPERATOR_ROLES = frozenset({"caller", "operator"})


def team_of(title: str, sections: Sections) -> str:
    """Name the team that owns a section, or return an empty text."""
    kind, _, name = title.partition(" ")
    if kind == "version":
        title, kind = f"adapter {name.partition('@')[0]}", "adapter"
    items = sections.get(title, {})
    if kind not in TEAM_KINDS or _is_administrators(kind, items):
        return ""
    return items.get("team", "")


def _is_administrators(kind: str, items: dict[str, str]) -> bool:
    # An operator's folder replaces what its team owns. Were an administrator's
    # key the team's, a folder without it would shut the administrator out.
    return kind == "key" and items.get("role", "caller") not in OPERATOR_ROLES


def sections_of(team: str, sections: Sections) -> Sections:
    """Return the sections that a team owns."""
    return {
        title: items
        for title, items in sections.items()
        if team_of(title, sections) == team
    }


def sections_visible_to(team: str, sections: Sections) -> Sections:
    """Return the sections that a team's operator sees: its own and its team."""
    own = sections_of(team, sections)
    title = f"team {team}"
    return {title: sections[title], **own} if title in sections else own


def merge_team(team: str, in_force: Sections, folder: Sections) -> Sections:
    """Put a team's sections of a folder in the place of those in force."""
    own = sections_of(team, in_force)
    kept = {title: items for title, items in in_force.items() if title not in own}
    return {**kept, **folder}


def find_ownership_faults(
    team: str, in_force: Sections, wanted: Sections
) -> list[Fault]:
    """Return a fault for each change that a team's operator may not make."""
    faults: list[Fault] = []
    for change in compare(in_force, wanted):
        owners = {
            team_of(change.section, sections)
            for sections in (in_force, wanted)
            if change.section in sections
        }
        if owners != {team}:
            message = f"an operator of {team} may change only what {team} owns"
            faults.append(Fault("", change.section, change.key, message))
    return faults + _risen_roles(team, in_force, wanted) + _routes_out(team, wanted)


def _risen_roles(team: str, in_force: Sections, wanted: Sections) -> list[Fault]:
    # An operator who could write a key of an administrator would be one.
    allowed = ", ".join(sorted(OPERATOR_ROLES))
    return [
        Fault("", title, "role", f"allowed to an operator: {allowed}")
        for title, items in wanted.items()
        if title.startswith("key ")
        and items.get("team") == team
        and _is_administrators("key", items)
        and in_force.get(title) != items
    ]


def _routes_out(team: str, wanted: Sections) -> list[Fault]:
    # A route to another team's adapter would let its callers use that adapter.
    return [
        Fault("", title, "model", f"this adapter does not belong to {team}")
        for title, items in sections_of(team, wanted).items()
        if title.startswith("application ")
        and team_of(f"version {items.get('model', '')}", wanted) not in ("", team)
    ]

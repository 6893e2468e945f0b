"""Access control: the sections that an operator of a team may see and change.

A team owns its adapters with their versions, and its applications, services,
rules and keys. All other sections, including the keys of administrators, belong to
the administrators.
"""

from knapweedbridge_core.configuration import Sections
from knapweedbridge_core.differences import compare
from knapweedbridge_core.faults import Fault

TEAM_KINDS = frozenset({"adapter", "application", "service", "rule", "key"})
OPERATOR_ROLES = frozenset({"caller", "operator"})


def team_of(title: str, sections: Sections) -> str:
    """Return the team that owns a section; empty if it is the administrators'."""
    kind, _, name = title.partition(" ")
    if kind == "version":
        title, kind = f"adapter {name.partition('@')[0]}", "adapter"
    items = sections.get(title, {})
    if kind not in TEAM_KINDS or _is_administrator_key(kind, items):
        return ""
    return items.get("team", "")


def _is_administrator_key(kind: str, items: dict[str, str]) -> bool:
    # An operator's folder replaces all sections of its team. If the team owned an
    # administrator's key, a folder without that key would lock the administrator out.
    return kind == "key" and items.get("role", "caller") not in OPERATOR_ROLES


def sections_of(team: str, sections: Sections) -> Sections:
    """Return the sections that a team owns."""
    return {
        title: items
        for title, items in sections.items()
        if team_of(title, sections) == team
    }


def sections_visible_to(team: str, sections: Sections) -> Sections:
    """Return the sections visible to an operator: those of the team, and the team."""
    own = sections_of(team, sections)
    title = f"team {team}"
    return {title: sections[title], **own} if title in sections else own


def merge_team(team: str, active: Sections, folder: Sections) -> Sections:
    """Replace a team's active sections by those of a folder."""
    own = sections_of(team, active)
    kept = {title: items for title, items in active.items() if title not in own}
    return {**kept, **folder}


def find_ownership_faults(team: str, active: Sections, wanted: Sections) -> list[Fault]:
    """Return a fault for each change that an operator of the team may not make."""
    faults: list[Fault] = []
    for change in compare(active, wanted):
        owners = {
            team_of(change.section, sections)
            for sections in (active, wanted)
            if change.section in sections
        }
        if owners != {team}:
            message = f"an operator of {team} may change only what {team} owns"
            faults.append(Fault("", change.section, change.key, message))
    return (
        faults
        + _find_role_faults(team, active, wanted)
        + _find_route_faults(team, wanted)
    )


def _find_role_faults(team: str, active: Sections, wanted: Sections) -> list[Fault]:
    # An operator who could create an administrator's key could gain that role.
    allowed = ", ".join(sorted(OPERATOR_ROLES))
    return [
        Fault("", title, "role", f"allowed to an operator: {allowed}")
        for title, items in wanted.items()
        if title.startswith("key ")
        and items.get("team") == team
        and _is_administrator_key("key", items)
        and active.get(title) != items
    ]


def _find_route_faults(team: str, wanted: Sections) -> list[Fault]:
    # A route to another team's adapter would give its callers access to that adapter.
    return [
        Fault("", title, "model", f"this adapter does not belong to {team}")
        for title, items in sections_of(team, wanted).items()
        if title.startswith("application ")
        and team_of(f"version {items.get('model', '')}", wanted) not in ("", team)
    ]

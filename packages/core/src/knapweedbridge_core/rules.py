"""Operators' rules about which requests may never be repeated."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from posixpath import normpath
from typing import Any

from knapweedbridge_core.faults import Fault

READING_METHODS = frozenset({"GET", "HEAD"})


class WithoutKey(StrEnum):
    """What becomes of a non-idempotent request without an idempotency key."""

    RUN = "run"
    REFUSE = "refuse"
    REFUSE_WHEN_STORE_DOWN = "refuse_when_store_down"


@dataclass(slots=True, frozen=True)
class Rule:
    """One ``[rule NAME]`` section; an empty condition holds for every request.

    Parameters
    ----------
    name : str
        Name of the section.
    team : str
        Team that owns the rule and what the request is for.
    service, application : str
        What the request is for; at most one of them is set.
    methods : tuple of str
        Methods; empty: all that do more than read.
    path : str
        Prefix of the path within the service, by whole segments.
    non_idempotent : bool or None
        Whether a request may run only once; None: what the service or the
        application says.
    without_key : WithoutKey
        What becomes of a non-idempotent request without a key.
    """

    name: str
    team: str = ""
    service: str = ""
    application: str = ""
    methods: tuple[str, ...] = ()
    path: str = ""
    non_idempotent: bool | None = None
    without_key: WithoutKey = WithoutKey.RUN

    @property
    def rank(self) -> tuple[bool, int, bool, bool]:
        """Order of rules that match the same request; the highest wins."""
        named = bool(self.service or self.application)
        return named, len(self.path), bool(self.methods), bool(self.team)


@dataclass(slots=True, frozen=True)
class RequestAttributes:
    """What of a request a rule looks at.

    Parameters
    ----------
    team : str
        Team that owns the service, the application or the adapter.
    method : str
        Method of the call.
    service, application : str
        What was called; both are empty for an adapter version called by name.
    path : str
        Path within the service, decoded.
    non_idempotent : bool
        What the service or the application says.
    """

    team: str
    method: str
    service: str = ""
    application: str = ""
    path: str = ""
    non_idempotent: bool = False


@dataclass(slots=True, frozen=True)
class RuleResult:
    """What the rules say of a request."""

    non_idempotent: bool
    without_key: WithoutKey = WithoutKey.RUN


def evaluate_rules(rules: Iterable[Rule], subject: RequestAttributes) -> RuleResult:
    """Return what the most specific matching rule says, else the default."""
    matching = [rule for rule in rules if matches(rule, subject)]
    default = subject.non_idempotent and subject.method not in READING_METHODS
    if not matching:
        return RuleResult(default)
    rule = max(matching, key=lambda rule: rule.rank)
    if rule.non_idempotent is None:
        return RuleResult(default, rule.without_key)
    return RuleResult(rule.non_idempotent, rule.without_key)


def matches(rule: Rule, subject: RequestAttributes) -> bool:
    """Tell whether a rule is about a request."""
    return (
        rule.team in ("", subject.team)
        and rule.service in ("", subject.service)
        and rule.application in ("", subject.application)
        and _has_method(rule, subject.method)
        and _holds(rule.path, subject.path)
    )


def _has_method(rule: Rule, method: str) -> bool:
    if rule.methods:
        return method in rule.methods
    return method not in READING_METHODS


def _holds(prefix: str, path: str) -> bool:
    # An endpoint may take /open/../new and //new for /new: were they compared
    # as written, a caller could choose which rule its call falls under.
    path = "/" + normpath("/" + path).lstrip("/")
    return not prefix or path == prefix or path.startswith(prefix + "/")


def validate_rule(title: str, values: dict[str, Any]) -> list[Fault]:
    """Return the faults of a rule that show without the other sections."""
    faults: list[Fault] = []
    path, service = values["path"], values["service"]
    whole = path == normpath(path) and "/" + path.strip("/") == path != "/"
    if path and not whole:
        allowed = "a path within the service that begins with / and does not end with /"
        faults.append(Fault("", title, "path", f"{path!r}: allowed: {allowed}"))
    if path and not service:
        faults.append(Fault("", title, "path", "allowed only beside service"))
    if values["application"] and service:
        faults.append(
            Fault("", title, "application", "allowed: service or application, not both")
        )
    if values["application"] and values["methods"]:
        faults.append(
            Fault("", title, "methods", "not allowed beside application: all are POST")
        )
    return faults


def find_conflict(title: str, rule: Rule, others: Iterable[Rule]) -> list[Fault]:
    """Return a fault where another rule matches the same requests equally."""
    for other in others:
        if other.name != rule.name and _is_equal(rule, other):
            message = f"matches the same requests as [rule {other.name}]"
            return [Fault("", title, _narrowest_key(rule), message)]
    return []


def _is_equal(one: Rule, other: Rule) -> bool:
    return _place(one) == _place(other) and (
        one.methods == other.methods or bool(set(one.methods) & set(other.methods))
    )


def _place(rule: Rule) -> tuple[str, ...]:
    return rule.team, rule.service, rule.application, rule.path


def _narrowest_key(rule: Rule) -> str:
    keys = ("methods", "path", "service", "application", "team")
    return next((key for key in keys if getattr(rule, key)), "")

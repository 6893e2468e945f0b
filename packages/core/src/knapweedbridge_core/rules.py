"""Rules of operators about which requests must never be retried."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from posixpath import normpath
from typing import Any

from knapweedbridge_core.faults import Fault

READ_ONLY_METHODS = frozenset({"GET", "HEAD"})


class WithoutKey(StrEnum):
    """How a non-idempotent request without an idempotency key is treated."""

    RUN = "run"
    REFUSE = "refuse"
    REFUSE_WHEN_STORE_DOWN = "refuse_when_store_down"


@dataclass(slots=True, frozen=True)
class Rule:
    """One ``[rule NAME]`` section; an empty condition matches every request.

    Parameters
    ----------
    name : str
        Name of the section.
    team : str
        Team that owns the rule and the target of the request.
    service, application : str
        Target of the request; at most one of them is set.
    methods : tuple of str
        HTTP methods; empty: all but the read-only ones.
    path : str
        Prefix of the path within the service, in whole segments.
    non_idempotent : bool or None
        Whether a request may run only once; None: as set for the service or
        the application.
    without_key : WithoutKey
        How a non-idempotent request without a key is treated.
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
        """Precedence among rules that match the same request; the highest wins."""
        named = bool(self.service or self.application)
        return named, len(self.path), bool(self.methods), bool(self.team)


@dataclass(slots=True, frozen=True)
class RequestAttributes:
    """The attributes of a request that rules match.

    Parameters
    ----------
    team : str
        Team that owns the service, the application or the adapter.
    method : str
        HTTP method.
    service, application : str
        Target of the request; both empty for an adapter version requested by name.
    path : str
        Path within the service, decoded.
    non_idempotent : bool
        Setting of the service or the application.
    """

    team: str
    method: str
    service: str = ""
    application: str = ""
    path: str = ""
    non_idempotent: bool = False


@dataclass(slots=True, frozen=True)
class RuleResult:
    """How a request is treated according to the rules."""

    non_idempotent: bool
    without_key: WithoutKey = WithoutKey.RUN


def evaluate_rules(rules: Iterable[Rule], attributes: RequestAttributes) -> RuleResult:
    """Return the result of the most specific matching rule, or the default."""
    matching = [rule for rule in rules if matches(rule, attributes)]
    default = attributes.non_idempotent and attributes.method not in READ_ONLY_METHODS
    if not matching:
        return RuleResult(default)
    rule = max(matching, key=lambda rule: rule.rank)
    if rule.non_idempotent is None:
        return RuleResult(default, rule.without_key)
    return RuleResult(rule.non_idempotent, rule.without_key)


def matches(rule: Rule, attributes: RequestAttributes) -> bool:
    """Return whether a rule matches a request."""
    return (
        rule.team in ("", attributes.team)
        and rule.service in ("", attributes.service)
        and rule.application in ("", attributes.application)
        and _matches_method(rule, attributes.method)
        and _matches_path(rule.path, attributes.path)
    )


def _matches_method(rule: Rule, method: str) -> bool:
    if rule.methods:
        return method in rule.methods
    return method not in READ_ONLY_METHODS


def _matches_path(prefix: str, path: str) -> bool:
    # An endpoint may treat /open/../new and //new as /new. Without normalization a
    # caller could choose which rule applies to its request.
    path = "/" + normpath("/" + path).lstrip("/")
    return not prefix or path == prefix or path.startswith(prefix + "/")


def validate_rule(title: str, values: dict[str, Any]) -> list[Fault]:
    """Return the faults of a rule that can be found without the other sections."""
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
    """Return a fault if another rule matches a request with equal precedence."""
    for other in others:
        if other.name != rule.name and _conflicts(rule, other):
            message = f"matches the same requests as [rule {other.name}]"
            return [Fault("", title, _most_specific_key(rule), message)]
    return []


def _conflicts(one: Rule, other: Rule) -> bool:
    return _scope(one) == _scope(other) and (
        one.methods == other.methods or bool(set(one.methods) & set(other.methods))
    )


def _scope(rule: Rule) -> tuple[str, ...]:
    return rule.team, rule.service, rule.application, rule.path


def _most_specific_key(rule: Rule) -> str:
    keys = ("methods", "path", "service", "application", "team")
    return next((key for key in keys if getattr(rule, key)), "")

"""What one key may see and use: models, applications and plain services."""

from dataclasses import dataclass

from knapweedbridge_core.configuration import (
    Application,
    Configuration,
    KeyEntry,
    Service,
)
from knapweedbridge_core.errors import NameFormatError
from knapweedbridge_core.names import AdapterVersion, parse_adapter_version
from knapweedbridge_core.outcomes import Reason
from knapweedbridge_core.rules import RequestAttributes, RuleResult, evaluate_rules
from knapweedbridge_daemon.answers import RefusedError


@dataclass(slots=True, frozen=True)
class ModelObject:
    """One entry of the list of models, in the form that callers know."""

    id: str
    owned_by: str
    object: str = "model"
    created: int = 0


@dataclass(slots=True, frozen=True)
class Target:
    """What a model name stands for."""

    model: AdapterVersion
    application: Application | None


class Catalogue:
    """The part of a configuration that one key may see.

    What belongs to another team looks the same as what does not exist, so
    that a key cannot be used to learn the names of others.

    Parameters
    ----------
    configuration : Configuration
        The configuration in force.
    key : KeyEntry
        Whose sight it is.
    """

    def __init__(self, configuration: Configuration, key: KeyEntry) -> None:
        self._configuration = configuration
        self._key = key

    def judge_model(self, target: Target) -> RuleResult:
        """Return what the operators' rules say of a request of a model."""
        application = target.application
        subject = RequestAttributes(
            application.team if application else self._team(target.model),
            "POST",
            application=application.name if application else "",
            non_idempotent=bool(application and application.non_idempotent),
        )
        return evaluate_rules(self._configuration.rules.values(), subject)

    def judge_call(self, service: Service, method: str, path: str) -> RuleResult:
        """Return what the operators' rules say of a call of a plain service."""
        subject = RequestAttributes(
            service.team,
            method,
            service=service.name,
            path=path.removeprefix(service.path),
            non_idempotent=service.non_idempotent,
        )
        return evaluate_rules(self._configuration.rules.values(), subject)

    def _sees(self, team: str) -> bool:
        return team == self._key.team or self._key.role == "administrator"

    def _team(self, model: AdapterVersion) -> str:
        return self._configuration.adapters[model.adapter].team

    def models(self) -> list[ModelObject]:
        """Return the adapter versions and applications, in order of name."""
        configuration = self._configuration
        found = [
            ModelObject(str(model), self._team(model))
            for model in configuration.versions
        ]
        found += [
            ModelObject(application.name, application.team)
            for application in configuration.applications.values()
        ]
        seen = [entry for entry in found if self._sees(entry.owned_by)]
        return sorted(seen, key=lambda entry: entry.id)

    def model(self, name: str) -> ModelObject:
        """Return one entry of the list.

        Raises
        ------
        RefusedError
            With `Reason.UNKNOWN_MODEL`.
        """
        target = self.target(name)
        if target.application is not None:
            return ModelObject(name, target.application.team)
        return ModelObject(name, self._team(target.model))

    def target(self, name: str) -> Target:
        """Return what a name stands for, an application first.

        Raises
        ------
        RefusedError
            With `Reason.UNKNOWN_MODEL`.
        """
        application = self._configuration.applications.get(name)
        if application is not None and self._sees(application.team):
            return Target(application.model, application)
        try:
            model = parse_adapter_version(name)
        except NameFormatError:
            raise _unknown(name) from None
        known = model in self._configuration.versions
        if not known or not self._sees(self._team(model)):
            raise _unknown(name)
        return Target(model, None)

    def service(self, path: str) -> Service:
        """Return the service whose path is the longest prefix.

        Raises
        ------
        RefusedError
            With `Reason.UNKNOWN_PATH`.
        """
        found = [
            service
            for service in self._configuration.services.values()
            if _holds(service.path.rstrip("/"), path)
        ]
        found.sort(key=lambda service: len(service.path))
        if not found or not self._sees(found[-1].team):
            raise RefusedError(Reason.UNKNOWN_PATH, f"nothing is served at {path}")
        return found[-1]


def _holds(prefix: str, path: str) -> bool:
    return path == prefix or path.startswith(prefix + "/")


def _unknown(name: str) -> RefusedError:
    return RefusedError(Reason.UNKNOWN_MODEL, f"no model {name!r}")

"""Speaks to the administration API of a daemon."""

from pathlib import Path
from typing import Any

import httpx

from knapweedbridge_cli.errors import (
    CONFLICT,
    FAULTS_FOUND,
    REFUSED,
    UNREACHABLE,
    CommandError,
)

TIMEOUT_S = 30.0


def read_folder(folder: Path) -> dict[str, str]:
    """Read the INI files of a folder by name."""
    return {path.name: path.read_text() for path in sorted(folder.glob("*.ini"))}


class AdministrationClient:
    """One daemon's administration API.

    Parameters
    ----------
    url : str
        Base URL of the operators' face.
    key : str
        The operator's key.
    """

    def __init__(self, url: str, key: str) -> None:
        self._client = httpx.Client(
            base_url=url,
            headers={"authorization": f"Bearer {key}"},
            timeout=TIMEOUT_S,
            trust_env=False,
        )

    def call(self, method: str, path: str, body: Any = None, **query: str) -> Any:
        """Call the API and return the JSON it answers.

        Raises
        ------
        CommandError
            With the exit code that fits the answer.
        """
        try:
            response = self._client.request(method, path, json=body, params=query)
        except httpx.HTTPError as error:
            raise CommandError(f"no answer: {error!r}", UNREACHABLE) from None
        if response.status_code == 422:
            raise CommandError("\n".join(response.json()["faults"]), FAULTS_FOUND)
        if response.status_code == 409:
            generation = response.json()["generation"]
            text = f"generation {generation} came in between; see diff, apply again"
            raise CommandError(text, CONFLICT)
        if response.status_code in (401, 403):
            raise CommandError("this key may not do that", REFUSED)
        if response.status_code != 200:
            raise CommandError(response.text, UNREACHABLE)
        return response.json()

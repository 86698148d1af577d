"""Keys, documents and signed requests, for the commands that call a control service.

This module is loaded at the start of any command, so large packages are imported where they are
used.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from pepperhook import tomlfile
from pepperhook.cli.output import CommandFailedError, InvalidInputError

if TYPE_CHECKING:
    from pepperhook.key_ring import KeyRing

MIN_SECRET_CHARACTERS = 16
REQUEST_TIMEOUT_S = 15

SERVICE_OPTION = click.option(
    "--service",
    metavar="HOST:PORT",
    envvar="PEPPERHOOK_CONTROL",
    required=True,
    help="Address of the control service. Default: PEPPERHOOK_CONTROL.",
)
KEYS_OPTION = click.option(
    "--keys",
    "keys_path",
    metavar="FILE",
    envvar="PEPPERHOOK_KEYS",
    required=True,
    help="File of keys: an id and a secret on each line. The first key signs. "
    "Default: PEPPERHOOK_KEYS.",
)


def _read_text(path: str, name: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidInputError(f"{name}: {getattr(error, 'strerror', None) or error}") from error


def read_keys(path: str) -> KeyRing:
    """Return the keys of a file that has one on each line. Raises InvalidInputError."""
    from pepperhook.key_ring import KeyRing

    name = f"--keys: {path}"
    lines = _read_text(path, name).splitlines()
    rows = [line.split(None, 1) for line in lines if line.strip() and not line.startswith("#")]
    if not rows or not all(_is_key(row) for row in rows):
        raise InvalidInputError(
            f"{name}: each line must have an id, a space, and a secret of at least "
            f"{MIN_SECRET_CHARACTERS} characters"
        )
    return KeyRing((key_id, secret.strip()) for key_id, secret in rows)


def _is_key(row: list[str]) -> bool:
    fields = 2
    return len(row) == fields and len(row[1].strip()) >= MIN_SECRET_CHARACTERS


def read_document(path: str) -> dict[str, Any]:
    """Return the document of a TOML or JSON file, checked against its schema.

    Raises InvalidInputError.
    """
    import tomllib

    from pepperhook.control_plane.document import Document

    text = _read_text(path, path)
    document: dict[str, Any]
    try:
        if path.endswith(".json"):
            document = json.loads(text)
            tomlfile.convert(document, Document, path)
        else:
            # Decoded twice: only tomlfile.decode names the line of an error.
            tomlfile.decode(text, Document, path)
            document = tomllib.loads(text)
    except (tomlfile.TomlFileError, json.JSONDecodeError) as error:
        raise InvalidInputError(str(error) if path in str(error) else f"{path}: {error}") from error
    return document


class ServiceClient:
    """Sends signed requests to a control service."""

    def __init__(self, address: str, keys: KeyRing) -> None:
        """``address``: HOST:PORT of the service; the first of the keys signs."""
        self._address = address
        self._keys = keys

    def get(self, path: str) -> Any:
        """Send a GET request and return the decoded JSON of its response.

        Raises InvalidInputError for a request that the service calls invalid, CommandFailedError
        for any other failure.
        """
        return _successful(*self.request("GET", path))

    def post(self, path: str, body: Mapping[str, Any]) -> Any:
        """Send a POST request with JSON and return the decoded JSON of its response.

        Raises the errors of ``get``.
        """
        return _successful(*self.request("POST", path, body))

    def request(
        self, method: str, path: str, body: Mapping[str, Any] | None = None
    ) -> tuple[int, Any]:
        """Return the status and the decoded JSON of a response.

        Raises CommandFailedError if there is no response, or none with valid JSON.
        """
        import http.client

        from pepperhook.control_plane.auth import sign_request

        data = b"" if body is None else json.dumps(body).encode()
        headers = {
            **sign_request(self._keys, method, path, data),
            "Content-Type": "application/json",
        }
        connection = http.client.HTTPConnection(self._address, timeout=REQUEST_TIMEOUT_S)
        try:
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            return response.status, json.loads(response.read())
        except (OSError, http.client.HTTPException, ValueError) as error:
            text = f"{self._address}: {error or type(error).__name__}"
            raise CommandFailedError(text) from error
        finally:
            connection.close()


def _successful(status: int, content: Any) -> Any:
    """Return the content of a successful response, else raise an error with its reason.

    Status 400 is raised as InvalidInputError, any other as CommandFailedError.
    """
    if status == HTTPStatus.OK:
        return content
    text = str(content.get("error", content)).replace("\n", " ")
    if status == HTTPStatus.BAD_REQUEST:
        raise InvalidInputError(text)
    raise CommandFailedError(text)

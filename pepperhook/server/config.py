"""The platform's configuration of a balancer: environment variables and one JSON file."""

import json
import resource
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, TypeVar

from pepperhook import settings
from pepperhook.errors import PepperhookError
from pepperhook.settings import Names, Settings, SettingsError

DEFAULT_SOCKETS = 1024
MIN_SOCKETS = 64
MAX_PORT = 65535

Address = tuple[str, int]
Result = TypeVar("Result")


class ConfigError(PepperhookError, ValueError):
    """The configuration cannot be used; the message names the key."""


@dataclass
class Config:
    """What the platform configures for one balancer."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory_mb: int | None
    known: dict[str, Any] | None  # initial endpoint list, in the discovery service's format
    settings: Settings
    names: Names


def read(environ: Mapping[str, str], is_reload: bool = False) -> Config:
    """Read the environment variables and the file that LB_CONFIG names. Raises ConfigError.

    ``is_reload``: the file was replaced while the process was running.
    """
    path = environ.get("LB_CONFIG")
    document = _read_document(path) if path else {}
    environment = document.get("settings")
    if environment is None:
        raise ConfigError("settings: is missing" + ("" if path else "; LB_CONFIG names no file"))
    decoded = _from_settings(settings.read, environment)
    return Config(
        name=str(environ.get("LB_NAME") or document.get("name") or "balancer"),
        listen=parse_address("listen", environ.get("LB_LISTEN") or document.get("listen")),
        discovery=_discovery_address(environ, document, is_reload),
        seed=_seed(document.get("seed", "0")),
        sockets=_sockets(document.get("limits")),
        memory_mb=_memory_mb(document.get("limits")),
        known=_known_list(document.get("known")),
        # A process always polls the list, even if the settings are for a simulator that pushes it.
        settings=replace(decoded, polls_endpoints=True),
        names=_from_settings(settings.read_names, environment),
    )


def _from_settings(reader: Callable[[Any], Result], environment: Any) -> Result:
    try:
        return reader(environment)
    except SettingsError as error:
        raise ConfigError(str(error)) from error


def _read_document(path: str) -> dict[str, Any]:
    try:
        with Path(path).open(encoding="utf-8") as file:
            document = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"LB_CONFIG: {path}: {error}") from error
    if not isinstance(document, dict):
        raise ConfigError(f"LB_CONFIG: {path}: must be a JSON object")
    return document


def _discovery_address(
    environ: Mapping[str, str], document: dict[str, Any], is_reload: bool
) -> Address:
    # The environment does not change while the process runs, so at a reload only the file can name
    # a new address.
    from_environment = environ.get("LB_DISCOVERY")
    from_file = document.get("discovery")
    return parse_address(
        "discovery",
        (from_file or from_environment) if is_reload else (from_environment or from_file),
    )


def parse_address(key: str, text: object) -> Address:
    """Parse ``HOST:PORT``. Raises ConfigError, which names ``key``."""
    if not isinstance(text, str):
        raise ConfigError(f"{key}: must be an address HOST:PORT")
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ConfigError(f"{key}: must be an address HOST:PORT, not {text!r:.60}")
    return host.strip("[]"), int(port)


def _seed(value: Any) -> int:
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    try:
        return int(value, 16)
    except (TypeError, ValueError) as error:
        raise ConfigError(f"seed: must be a hexadecimal number, not {value!r:.60}") from error


def _sockets(limits: Any) -> int:
    if limits is not None and not isinstance(limits, dict):
        raise ConfigError("limits: must be an object")
    sockets = (limits or {}).get("sockets", DEFAULT_SOCKETS)
    if not isinstance(sockets, int) or isinstance(sockets, bool) or sockets < MIN_SOCKETS:
        raise ConfigError(
            f"limits.sockets: must be an integer of at least {MIN_SOCKETS}, not {sockets!r:.40}"
        )
    max_descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return sockets if max_descriptors == resource.RLIM_INFINITY else min(sockets, max_descriptors)


def _memory_mb(limits: Any) -> int | None:
    memory_mb = (limits or {}).get("memory_mb")
    if memory_mb is None:
        return None
    if not isinstance(memory_mb, int) or isinstance(memory_mb, bool) or memory_mb < 1:
        raise ConfigError(
            f"limits.memory_mb: must be an integer of at least 1, not {memory_mb!r:.40}"
        )
    return memory_mb


def _known_list(value: Any) -> dict[str, Any] | None:
    if value is None:
        return None
    if not isinstance(value, dict) or not isinstance(value.get("hosts", []), list):
        raise ConfigError("known: must be an endpoint list in the discovery service's format")
    return value

"""Lists every value of a balancer's configuration with its source."""

from __future__ import annotations

import json
import os
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pepperhook import settings
from pepperhook.capture import stored_settings
from pepperhook.server.config import Config

DEFAULT = "default"
ABSENT = "absent"
OFF = "off"


@dataclass(frozen=True, slots=True)
class ConfigValue:
    """One value in force; a duration is in the unit that its key names."""

    key: str
    value: Any
    source: str


def list_values(config: Config, config_path: str, operator_path: str | None) -> list[ConfigValue]:
    """Return all values that a balancer started with these files would use."""
    document = json.loads(Path(config_path).read_text(encoding="utf-8"))
    values = [
        *_process_values(config, document, config_path),
        *_settings_values(config, document["settings"], config_path),
        *_service_class_values(config, config_path),
    ]
    if operator_path:
        values += _operator_values(operator_path)
    return values


def _process_values(
    config: Config, document: dict[str, Any], config_path: str
) -> Iterator[ConfigValue]:
    """Yield the values outside the settings; an environment variable overrides the file."""
    values = {
        "name": config.name,
        "listen": "{}:{}".format(*config.listen),
        "discovery": "{}:{}".format(*config.discovery),
        "seed": f"{config.seed:x}",
        "limits.sockets": config.sockets,
        "limits.memory_mb": config.memory_mb,
    }
    for key, value in values.items():
        variable = f"LB_{key.upper()}"
        source = DEFAULT
        if os.environ.get(variable):
            source = variable
        elif _value_at(document, key) is not None:
            source = config_path
        yield ConfigValue(key, value, source)


def _value_at(document: Any, key: str) -> Any:
    """Return the value at a dotted key, or None where there is none."""
    for part in key.split("."):
        document = document.get(part) if isinstance(document, dict) else None
    return document


def _settings_values(
    config: Config, document: dict[str, Any], config_path: str
) -> Iterator[ConfigValue]:
    """Yield the settings that are present, the load reports, and the settings that are absent."""
    present = {key for key in settings.SETTINGS if settings.lookup(document, key) is not None}
    for key, spec in settings.SETTINGS.items():
        if key in present:
            value = getattr(config.settings, spec.name)
            # The factor converts a value from the unit of its key to that of the setting.
            is_in_key_unit = spec.factor in (None, 1)
            value_in_key_unit = value if is_in_key_unit else value / spec.factor
            yield ConfigValue(f"settings.{key}", value_in_key_unit, config_path)
    reporting = document.get("reporting") or {}
    reports = {"how": config.settings.report_source, "fields": config.settings.report_names}
    for key, value in reports.items():
        source = config_path if key in reporting else DEFAULT
        yield ConfigValue(f"settings.reporting.{key}", value, source)
    for key in settings.SETTINGS:
        if key not in present:
            yield ConfigValue(f"settings.{key}", None, ABSENT)


def _service_class_values(config: Config, config_path: str) -> Iterator[ConfigValue]:
    source = f"{config_path} or its default"
    for index, service_class in enumerate(config.settings.service_classes):
        for key, value in stored_settings.encode_class(service_class).items():
            if key != "number":
                yield ConfigValue(f"settings.serviceGrades[{index}].{key}", value, source)


def _operator_values(path: str) -> list[ConfigValue]:
    # Imported only if there is an operator's file.
    import msgspec

    from pepperhook import operator_config

    document = msgspec.to_builtins(operator_config.read(path))
    return list(_leaves("operator", document, path))


def _leaves(key: str, value: Any, path: str) -> Iterator[ConfigValue]:
    """Yield the values in nested tables; an absent table or value has the source ``off``."""
    if isinstance(value, dict) and value:
        for name, inner in value.items():
            yield from _leaves(f"{key}.{name}", inner, path)
    else:
        yield ConfigValue(key, value, path if value is not None else OFF)

"""The commands for one balancer: run it, check its configuration, show its configuration."""

from __future__ import annotations

import json
import os
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING

import click

from pepperhook.cli.options import JSON_OPTION
from pepperhook.cli.output import InvalidInputError, print_json

if TYPE_CHECKING:
    from pepperhook.server.config import Config

CONFIG_OPTION = click.option(
    "--config",
    "config_path",
    metavar="FILE",
    envvar="LB_CONFIG",
    help="The balancer's configuration (JSON). Default: LB_CONFIG.",
)
OPERATOR_OPTION = click.option(
    "--operator",
    "operator_path",
    metavar="FILE",
    envvar="LB_OPERATOR",
    help="The operator's file (TOML). Default: LB_OPERATOR.",
)
VALUE_WIDTH = 24


@dataclass(frozen=True, slots=True)
class CheckedConfig:
    """A configuration that a balancer can start with."""

    config: Config
    extension_names: list[str]


@click.command()
@CONFIG_OPTION
@OPERATOR_OPTION
def run(config_path: str | None, operator_path: str | None) -> None:
    """Run one balancer until SIGTERM.

    Does the same as `python -m pepperhook`.
    """
    _set_environment(config_path, operator_path)
    from pepperhook import __main__ as program

    sys.exit(program.main())


@click.command()
@CONFIG_OPTION
@OPERATOR_OPTION
@JSON_OPTION
def check(config_path: str | None, operator_path: str | None, as_json: bool) -> None:
    """Check the configuration without starting a balancer.

    Reads it as a starting balancer does. Prints the first error in one line, with exit code 2.
    """
    _set_environment(config_path, operator_path)
    checked = _read_configuration()
    name = checked.config.name
    service_classes = list(checked.config.names.service_classes)
    extensions = checked.extension_names
    if as_json:
        row = {"usable": True, "name": name, "grades": service_classes, "parts": extensions}
        print_json(row)
    else:
        click.echo(
            f"usable: {name}, {len(service_classes)} service grades, "
            f"parts: {', '.join(extensions) or 'none'}"
        )


@click.group()
def config() -> None:
    """Show the configuration in force."""


@config.command()
@CONFIG_OPTION
@OPERATOR_OPTION
@JSON_OPTION
def show(config_path: str | None, operator_path: str | None, as_json: bool) -> None:
    """Print every value that a balancer would start with.

    Includes defaults. Each value is printed with its source: a file, an environment variable, or
    the default.
    """
    from pepperhook.cli.config_values import list_values

    _set_environment(config_path, operator_path)
    checked = _read_configuration()
    values = list_values(checked.config, os.environ["LB_CONFIG"], operator_path)
    if as_json:
        rows = [{"key": row.key, "value": row.value, "from": row.source} for row in values]
        print_json(rows, default=str)
        return
    key_width = max(len(row.key) for row in values)
    for row in values:
        text = json.dumps(row.value, default=str)
        click.echo(f"{row.key:<{key_width}}  {text:<{VALUE_WIDTH}}  {row.source}")


def _set_environment(config_path: str | None, operator_path: str | None) -> None:
    """Pass options on as environment variables, the only input that the program reads."""
    for name, value in (("LB_CONFIG", config_path), ("LB_OPERATOR", operator_path)):
        if value is not None:
            os.environ[name] = value


def _read_configuration() -> CheckedConfig:
    """Read the configuration as a starting balancer does. Raises InvalidInputError."""
    import logging

    from pepperhook.__main__ import load_extensions
    from pepperhook.server import config as server_config
    from pepperhook.server import structured_logging
    from pepperhook.server.extensions import listed_name

    logger = logging.getLogger("pepperhook.check")
    logger.addHandler(logging.NullHandler())
    logger.propagate = False
    try:
        read_config = server_config.read(os.environ)
        extensions = load_extensions(os.environ, read_config, structured_logging.Log(logger))
    except server_config.ConfigError as error:
        raise InvalidInputError(f"configuration: {error}") from error
    return CheckedConfig(read_config, [listed_name(extension) for extension in extensions.all])

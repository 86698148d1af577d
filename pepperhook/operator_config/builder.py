"""Reads the operator's file and builds the extensions that it turns on.

The order of the extensions is the order in which the server calls their hooks. Only extensions that
are on are imported, so that a balancer uses no memory for the others.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

from pepperhook import tomlfile
from pepperhook.operator_config import schema
from pepperhook.server.config import Config, ConfigError
from pepperhook.server.extensions import Extensions, listed_name
from pepperhook.server.structured_logging import Log

RATE_LIMIT_KEY = "customers"  # key of the extension in the control plane's documents


def read(path: str | Path) -> schema.OperatorFile:
    """Read the file. Raises ConfigError, whose message names file, line and key."""
    try:
        return tomlfile.read(path, schema.OperatorFile)
    except tomlfile.TomlFileError as error:
        raise ConfigError(str(error)) from error


def build(path: str, config: Config, log: Log) -> Extensions:
    """Build the extensions that the file at ``path`` turns on, for the balancer of ``config``.

    Raises ConfigError, whose message is one line with file and key.
    """
    operator_file = read(path)
    try:
        extensions = _build_all(operator_file, config, log)
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from error
    names = [listed_name(extension) for extension in extensions]
    if operator_file.http2 is not None:
        names.append("h2")  # no extension, but listed with them
    log.info("operator_file", path=path, parts=",".join(names) or "none")
    return Extensions(extensions, operator_file.http2)


def _build_all(operator_file: schema.OperatorFile, config: Config, log: Log) -> list[Any]:
    """Build the extensions, in the order in which their hooks are called."""
    rate_limit = _build_rate_limit(operator_file.rate_limit, config)
    extensions = [
        rate_limit,
        _build_request_context(operator_file.request_context, config, log),
        # After the request context, which ends call loops: a looping request would otherwise wait
        # for the response to itself.
        _build_idempotency(operator_file.idempotency, config, log),
        _build_capture(operator_file.capture, config, log),
        # Wraps the capture, so that the capture records the calls as the policy itself gets them.
        _build_trace(operator_file.trace, config, log),
        # Wraps both, so that the calls of its policy copies are neither captured nor traced.
        _build_shadow(operator_file.shadow, config, log),
    ]
    _check_fleet_position(operator_file)
    membership = _build_membership(operator_file.membership, config, log)
    control_plane = _build_control_plane(
        operator_file.control_plane, config, log, rate_limit, membership
    )
    extensions += [membership, control_plane]
    return [extension for extension in extensions if extension is not None]


def _check_fleet_position(operator_file: schema.OperatorFile) -> None:
    membership, control_plane = operator_file.membership, operator_file.control_plane
    if membership is None or control_plane is None:
        return
    if membership.sets_fleet_position and control_plane.sets_fleet_position:
        raise ConfigError(
            "gossip.place: control.place is on, too; only one of them may set the fleet position"
        )


def _build_rate_limit(table: schema.RateLimitTable | None, config: Config) -> Any:
    if table is None:
        return None
    from pepperhook.rate_limit.extension import RateLimitExtension

    return RateLimitExtension(table, config)


def _build_request_context(
    table: schema.RequestContextTable | None, config: Config, log: Log
) -> Any:
    if table is None:
        return None
    from pepperhook.request_context.extension import RequestContextExtension

    return RequestContextExtension(table, config, log)


def _build_idempotency(table: schema.IdempotencyTable | None, config: Config, log: Log) -> Any:
    if table is None:
        return None
    from pepperhook.idempotency.extension import Idempotency
    from pepperhook.idempotency.peers import Peers

    peers = None if table.peers is None else Peers(table.peers, config.name, log)
    return Idempotency(table, config, log, peers)


def _build_capture(table: schema.CaptureTable | None, config: Config, log: Log) -> Any:
    if table is None:
        return None
    from pepperhook.capture.extension import Capture

    return Capture(table, config, log)


def _build_trace(table: schema.TraceTable | None, config: Config, log: Log) -> Any:
    if table is None:
        return None
    from pepperhook.tracing.extension import Tracing

    return Tracing(table, config, log)


def _build_shadow(table: schema.ShadowTable | None, config: Config, log: Log) -> Any:
    if table is None:
        return None
    from pepperhook.shadow.extension import Shadow

    return Shadow(table, config, log)


def _build_membership(table: schema.MembershipTable | None, config: Config, log: Log) -> Any:
    if table is None:
        return None
    from pepperhook.membership.extension import Gossip

    return Gossip(table, config, log)


def _build_control_plane(
    table: schema.ControlPlaneTable | None,
    config: Config,
    log: Log,
    rate_limit: Any,
    membership: Any,
) -> Any:
    """Build the control plane's extension, with the extensions that its documents configure."""
    if table is None:
        return None
    from pepperhook.control_plane.extension import Control

    configurable = [] if rate_limit is None else [(RATE_LIMIT_KEY, rate_limit)]
    return Control(table, config, log, configurable, membership)

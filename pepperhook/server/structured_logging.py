"""The balancer's log: one line of key=value pairs per event, on standard error."""

import json
import logging
import os
import re
import sys
import time
from typing import Any, TextIO

UNQUOTED = re.compile(r"[^\s\"=\x00-\x1f\x7f]+")
LOGGER_NAME = "pepperhook"


def _quote(value: object) -> str:
    text = str(value)
    return text if UNQUOTED.fullmatch(text) else json.dumps(text)


class KeyValueFormatter(logging.Formatter):
    """Formats time, level, event, the fields in order, and an exception's error and location."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line for ``record``."""
        seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        fields: dict[str, object] = {
            "time": f"{seconds}.{record.msecs:03.0f}Z",
            "level": record.levelname.lower(),
            "event": record.getMessage(),
            **getattr(record, "pairs", {}),
        }
        if record.exc_info and record.exc_info[1] is not None:
            fields.update(exception_fields(record.exc_info[1]))
        return " ".join(f"{key}={_quote(value)}" for key, value in fields.items())


def exception_fields(error: BaseException) -> dict[str, object]:
    """Return the log fields of an error: its type and message, and where it was raised."""
    fields: dict[str, object] = {"error": f"{type(error).__name__}: {error}"}
    innermost = error.__traceback__
    while innermost is not None and innermost.tb_next is not None:
        innermost = innermost.tb_next
    if innermost is not None:
        fields["at"] = f"{innermost.tb_frame.f_code.co_filename}:{innermost.tb_lineno}"
    return fields


class Log:
    """Logs events with fields, separate from the attributes of the logging library."""

    def __init__(self, logger: logging.Logger) -> None:
        """Log to ``logger``."""
        self.logger = logger

    def info(self, event: str, **pairs: Any) -> None:
        """Log a normal event."""
        self.logger.info(event, extra={"pairs": pairs})

    def debug(self, event: str, **pairs: Any) -> None:
        """Log a detail if debugging is enabled."""
        if self.logger.isEnabledFor(logging.DEBUG):
            self.logger.debug(event, extra={"pairs": pairs})

    def warning(self, event: str, **pairs: Any) -> None:
        """Log a problem that an operator should know about."""
        self.logger.warning(event, extra={"pairs": pairs})

    def error(self, event: str, **pairs: Any) -> None:
        """Log a problem that an operator must act on."""
        self.logger.error(event, extra={"pairs": pairs})

    def exception(self, event: str, **pairs: Any) -> None:
        """Log an error with the exception that is being handled."""
        self.logger.exception(event, extra={"pairs": pairs})


def start(stream: TextIO | None = None) -> Log:
    """Start logging to ``stream``, by default standard error; ``LB_LOG=debug`` adds details."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(handlers=[handler], level=logging.INFO, force=True)
    logger = logging.getLogger(LOGGER_NAME)
    if os.environ.get("LB_LOG") == "debug":
        logger.setLevel(logging.DEBUG)
    return Log(logger)

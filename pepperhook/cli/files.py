"""Writes files atomically: after a crash, a file has either its old or its new content."""

import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path


@contextmanager
def replacing_file(path: str) -> Iterator[Path]:
    """Yield a temporary path to write to; on success, the file there replaces ``path``."""
    temporary = Path(path).with_name(f".{Path(path).name}.{os.getpid()}")
    try:
        yield temporary
        temporary.replace(path)
    finally:
        temporary.unlink(missing_ok=True)


def write_file(path: str, text: str) -> None:
    """Replace a file by one with this text. Raises OSError."""
    with replacing_file(path) as temporary, temporary.open("wb") as file:
        file.write(text.encode())
        file.flush()
        os.fsync(file.fileno())

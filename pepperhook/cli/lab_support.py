"""The check for the lab's packages and the handling of failed runs, for the lab's commands."""

from collections.abc import Iterator
from contextlib import contextmanager
from importlib import import_module

from pepperhook import tomlfile
from pepperhook.cli.output import InvalidInputError, LabRunFailedError

LAB_PACKAGES = ("hdrh", "numpy", "uvloop")


def require_lab() -> None:
    """Raise InvalidInputError if a package that the lab needs is not installed."""
    try:
        for name in LAB_PACKAGES:
            import_module(name)
    except ImportError as error:
        text = f"the lab needs {error.name}: pip install -r requirements-lab.txt"
        raise InvalidInputError(text) from error


@contextmanager
def reporting_void_run(name: str) -> Iterator[None]:
    """Report a run that could not be completed as invalid input, exit code 2.

    Such a run has no verdict, so it shows no fault of the balancer.
    """
    from pepperhook.lab.scenario_run import RunError

    try:
        yield
    except (RunError, OSError, tomlfile.TomlFileError) as error:
        raise InvalidInputError(f"{name}: could not run: {error}") from error


@contextmanager
def reporting_failed_run(name: str) -> Iterator[None]:
    """Report a run that was aborted as a failure."""
    from pepperhook.lab.scenario_run import RunError

    try:
        yield
    except (RunError, OSError) as error:
        raise LabRunFailedError(f"{name}: {error}") from error

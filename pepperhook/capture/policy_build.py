"""Policies for a replay: the running program's, or that of a modified ``pepperhook/policy``."""

from __future__ import annotations

import importlib
import importlib.util
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from types import ModuleType
from typing import Any

import pepperhook
from pepperhook import balancer
from pepperhook.container import UnreadableFileError

POLICY_PACKAGE = "pepperhook.policy"
BALANCER_MODULE = "pepperhook.balancer"


class PolicyBuild:
    """A factory of policies, and the classes that they consist of."""

    def __init__(self, make_policy: Callable[..., Any], modules: dict[str, ModuleType]) -> None:
        """``modules``, by name, replace those of the running program."""
        self.make_policy = make_policy
        self.modules = modules

    def __call__(self, *arguments: Any) -> Any:
        """Create a policy."""
        return self.make_policy(*arguments)

    def find_class(self, module_name: str, name: str) -> type | None:
        """Return a class by its module and name, or None; ``modules`` take precedence."""
        module = self.modules.get(module_name) or sys.modules.get(module_name)
        value = getattr(module, name, None)
        return value if isinstance(value, type) else None


def current_build() -> PolicyBuild:
    """Return the policy of the running program."""
    return PolicyBuild(balancer.Balancer, {})


def as_build(make_policy: Callable[..., Any]) -> PolicyBuild:
    """Return a build for any callable that creates policies."""
    return make_policy if isinstance(make_policy, PolicyBuild) else PolicyBuild(make_policy, {})


def from_folder(path: Path) -> PolicyBuild:
    """Load the policy from a copy of the package. Raises UnreadableFileError."""
    entry = path / "__init__.py"
    if not entry.is_file():
        raise UnreadableFileError(
            f"{path}: can't be used as a policy: it is not a copy of pepperhook/policy"
        )
    with isolated_policy_modules():
        try:
            spec = importlib.util.spec_from_file_location(
                POLICY_PACKAGE, entry, submodule_search_locations=[str(path)]
            )
            assert spec is not None and spec.loader is not None
            package = importlib.util.module_from_spec(spec)
            sys.modules[POLICY_PACKAGE] = package
            spec.loader.exec_module(package)
            make_policy = importlib.import_module(BALANCER_MODULE).Balancer
        except Exception as error:
            kind = type(error).__name__
            raise UnreadableFileError(
                f"{path}: can't be used as a policy: {kind}: {error}"
            ) from error
        return PolicyBuild(
            make_policy, {name: sys.modules[name] for name in loaded_policy_modules()}
        )


def loaded_policy_modules() -> list[str]:
    """Return the names of the imported modules of the policy: its package and the balancer."""
    return [name for name in sys.modules if name == BALANCER_MODULE or is_in_policy_package(name)]


def is_in_policy_package(module_name: str) -> bool:
    """Return whether a module is in the package ``pepperhook.policy``."""
    return module_name == POLICY_PACKAGE or module_name.startswith(POLICY_PACKAGE + ".")


@contextmanager
def isolated_policy_modules() -> Iterator[None]:
    """Import the policy's modules anew within the context, and restore the present ones on exit."""
    own_modules = {name: sys.modules.pop(name) for name in loaded_policy_modules()}
    package = getattr(pepperhook, "policy", None)
    try:
        yield
    finally:
        for name in loaded_policy_modules():
            del sys.modules[name]
        sys.modules.update(own_modules)
        # An import also sets a submodule as an attribute of its package.
        pepperhook.policy = package  # type: ignore[attr-defined]
        pepperhook.balancer = balancer

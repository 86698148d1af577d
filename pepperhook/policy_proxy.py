"""Proxies of a policy that record, trace or compare its calls."""

from typing import Any

from pepperhook.stored_words import CALLS


class PolicyProxy:
    """Delegates attributes that it does not define to the policy, both reads and writes."""

    def __init__(self, module: Any, **proxy_attributes: Any) -> None:
        """Wrap the policy ``module``; ``proxy_attributes`` are set on the proxy itself."""
        self.__dict__.update(module=module, **proxy_attributes)

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the policy."""
        return getattr(self.module, name)

    def __setattr__(self, name: str, value: Any) -> None:
        """Set an attribute of the policy, as hosts do to clear the actions of a failed call."""
        setattr(self.module, name, value)


def route_calls(proxy_class: type) -> None:
    """Define all entry points on a proxy class.

    Each forwards to the method ``call(name, now, *arguments)`` of the proxy.
    """

    def make_entry_point(name: str) -> Any:
        def entry_point(self: Any, now: int, *arguments: Any) -> Any:
            return self.call(name, now, *arguments)

        entry_point.__name__ = name
        return entry_point

    for name in CALLS:
        setattr(proxy_class, name, make_entry_point(name))

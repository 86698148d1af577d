"""The settings in force, as far as idempotency keys depend on them.

A version of the control plane can change the settings of a running balancer. ``SettingsInForce`` is
the one owner of the values that this package reads from them: the others ask it when they need a
value, and store none. Times are whole nanoseconds.
"""

from __future__ import annotations

from pepperhook.idempotency.entries import KeyRules
from pepperhook.idempotency.service_classes import KeySettings, ServiceClassPolicy


class SettingsInForce:
    """The settings in force, and the longest times under all settings since the start.

    The latter apply to what may have begun under earlier settings: a milder version does not
    shorten what an earlier one has promised.
    """

    def __init__(self, settings: KeySettings) -> None:
        """Begin with the settings that the balancer was started with."""
        self.current = settings
        self.longest_request_ns = settings.longest_request_ns
        self._startup_policies = settings.policies
        self._longest_windows_ns = [policy.window_ns for policy in settings.policies]

    def replace(self, settings: KeySettings) -> None:
        """Put other settings into force, with the same service classes and tenants."""
        self.current = settings
        self.longest_request_ns = max(self.longest_request_ns, settings.longest_request_ns)
        for service_class, policy in enumerate(settings.policies):
            self.note_window(service_class, policy.window_ns)

    def note_window(self, service_class: int, window_ns: int) -> None:
        """Note a window that a key of a service class has or had, also in an earlier run."""
        longest_ns = self._longest_windows_ns[service_class]
        self._longest_windows_ns[service_class] = max(longest_ns, window_ns)

    # Service classes.

    def policy(self, service_class: int) -> ServiceClassPolicy:
        """Return the policy in force of a service class."""
        return self.current.policies[service_class]

    def rules(self, service_class: int) -> KeyRules:
        """Return the rules in force for keys of a service class."""
        policy = self.policy(service_class)
        return KeyRules(service_class, policy.window_ns, policy.is_safe)

    def strictest(self, rules: KeyRules) -> KeyRules:
        """Return the rules for a key that was used under ``rules``: these or those in force."""
        return rules.strictest(self.rules(rules.service_class))

    def extension_ns(self, rules: KeyRules) -> int:
        """Return by how much the settings in force extend the window of ``rules``."""
        return max(0, self.policy(rules.service_class).window_ns - rules.window_ns)

    def may_have_keys(self, service_class: int) -> bool:
        """Return whether keys of a service class have counted at any time."""
        return self._longest_windows_ns[service_class] > 0

    def recorded_window_ns(self, rules: KeyRules) -> int:
        """Return the window to record: 0 unless it is longer than that of the startup settings.

        A restart may come back with the startup settings, which do not have the longer window.
        """
        startup_ns = self._startup_policies[rules.service_class].window_ns
        return rules.window_ns if rules.window_ns > startup_ns else 0

    # The longest time from the start of a request to the end of its key's window.

    def entry_ns(self, service_class: int) -> int:
        """Return it for one service class."""
        return self.longest_request_ns + self._longest_windows_ns[service_class]

    def longest_entry_ns(self) -> int:
        """Return it for all service classes; may be called in any thread."""
        return self.longest_request_ns + max(self._longest_windows_ns, default=0)

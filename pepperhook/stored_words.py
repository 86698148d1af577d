"""Maps names in the code to the words that stand for them in stored files, and back.

Captures and traces are read by later versions of the code, so a stored word never changes, even if
the class, method or field is renamed. Therefore many words differ from the names in the code. Only
this module defines the mapping.
"""

from pepperhook.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    FetchEndpoints,
    HealthCheck,
    OperatorNote,
    RejectRequest,
    StartAttempt,
    WakeAt,
    WatchEndpoints,
)
from pepperhook.domain import Effect, Outcome

# Outcomes of attempts.
OUTCOMES = {
    Outcome.SERVED: "fulfilled",
    Outcome.ERROR: "error",
    Outcome.OVERLOADED: "full",
    Outcome.TIMED_OUT: "timed out",
    Outcome.CONNECT_FAILED: "unconnected",
    Outcome.RESET: "reset",
    Outcome.CANCELLED: "called off",
    Outcome.NOT_SENT: "moot",
    Outcome.MALFORMED_RESPONSE: "spoilt",
}
OUTCOME_OF = {word: outcome for outcome, word in OUTCOMES.items()}
# Effects of executing a request twice.
EFFECTS = {
    Effect.SAFE: "retriable",
    Effect.KEYED: "fingerprinted",
    Effect.UNSAFE: "binding",
}
EFFECT_OF = {word: effect for effect, word in EFFECTS.items()}
# Entry points of the policy, by method name.
CALLS = {
    "endpoints_changed": "listing",
    "endpoints_corrected": "listing_corrected",
    "endpoints_confirmed": "listing_confirmed",
    "endpoint_poll_failed": "listing_failed",
    "endpoint_service_moved": "listing_moved",
    "accept": "take",
    "response_started": "started",
    "attempt_ended": "ended",
    "client_left": "left",
    "health_check_ended": "probed",
    "peer_message": "heard",
    "reconfigure": "retold",
    "wake": "wake",
}
CALL_OF = {word: name for name, word in CALLS.items()}
# Actions that a policy returns.
ACTIONS: dict[type[Action], str] = {
    StartAttempt: "dispatch",
    CancelAttempt: "call off",
    RejectRequest: "shed",
    FailRequest: "break off",
    HealthCheck: "probe",
    WatchEndpoints: "watch",
    FetchEndpoints: "fetch",
    WakeAt: "wake",
    OperatorNote: "note",
}
# Fields of Settings that captures store.
SETTINGS = {
    "index": "me",
    "fleet_size": "balancers",
    "tier": "tier",
    "zone": "zone",
    "excess_weight_factor": "excess_earnings",
    "weight_is_per_work": "per_work",
    "tick_ns": "tick_ns",
    "clients_mark_retries": "marks_repeats",
    "objective_tail": "tail",
    "objective_tail_slack": "tail_slack",
    "connection_price": "connection_price",
    "handshake_price": "handshake_price",
    "cross_zone_price": "crossing_price",
    "forwards_deadline": "passes_limit",
    "may_cancel": "may_call_off",
    "may_health_check": "may_probe",
    "may_overlap_attempts": "may_overlap",
    "may_advise_retry_after": "may_advise",
    "max_attempts": "most_dispatches",
    "max_retry_after_ns": "longest_advice_ns",
    "connect_timeout_ns": "connect_limit_ns",
    "keepalive_ns": "idle_ns",
    "response_slack_ns": "answer_slack_ns",
    "endpoint_poll_within_ns": "ask_within_ns",
    "drain_grace_ns": "drain_grace_ns",
    "overload_multiple": "fall_multiple",
    "overload_window_ns": "fall_ns",
    "slow_start_capacity": "start_capacity",
    "slow_start_ns": "warm_within_ns",
    "polls_endpoints": "asks",
    "endpoints_are_pushed": "pushed",
    "report_source": "reports",
    "report_names": "report_names",
    "report_figures": "report_fields",
}
SUBSCRIBES = "subscribes"  # key of Settings.subscribes_to_endpoints, stored also where it is False
# Keys of the lists of service classes and tenants in stored settings.
SERVICE_CLASSES, TENANTS = "grades", "customers"
# Fields of ServiceClass.
SERVICE_CLASS = {
    "number": "number",
    "time_limit_ns": "limit_ns",
    "objective_ns": "goal_ns",
    "effect": "effect",
    "repeat_group": "group",
    "key_window_ns": "window_ns",
    "priority_weight": "earnings",
    "late_priority_weight": "late_earnings",
    "streaming": "stream",
}
# Fields of TenantQuota.
TENANT = {"quota_per_s": "quota", "share": "share"}

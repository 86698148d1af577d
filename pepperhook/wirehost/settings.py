"""Turns the settings of the wire into a plain map in the project's words, times in nanoseconds."""

from pepperhook import model

EFFECTS = {"idempotent": model.RETRIABLE, "deduplicated": model.FINGERPRINTED, "at_most_once": model.BINDING}
REPORT_WORDS = {"outstanding": "in flight", "backlog": "waiting", "utilization": "utilisation",
                "recent_ms": "service time ms", "throughput": "per second",
                "errors_per_s": "errors per second"}
# wire path -> (our name, factor); what is absent stays absent, the decisions know what absence means
PLAIN = {
    ("me",): ("me", 1), ("groupSize",): ("balancers", 1), ("tier",): ("tier", 1), ("locality",): ("zone", 1),
    ("excessEarnings",): ("excess_earnings", 1), ("tickUs",): ("tick_ns", 1000),
    ("domain", "passesDeadline"): ("passes_limit", 1),
    ("permissions", "cancel"): ("may_call_off", 1), ("permissions", "probes"): ("may_probe", 1),
    ("permissions", "parallelTries"): ("may_overlap", 1), ("permissions", "retryAfter"): ("may_advise", 1),
    ("permissions", "maxDispatches"): ("most_dispatches", 1),
    ("permissions", "maxRetryAfterUs"): ("longest_advice_ns", 1000),
    ("permissions", "connectTimeoutUs"): ("connect_limit_ns", 1000),
    ("safety", "answerSlackUs"): ("answer_slack_ns", 1000),
    ("safety", "askWithinUs"): ("ask_within_ns", 1000),
    ("safety", "drainGraceUs"): ("drain_grace_ns", 1000), ("safety", "fallMultiple"): ("fall_multiple", 1),
    ("safety", "fallUs"): ("fall_ns", 1000), ("safety", "startCapacity"): ("start_capacity", 1),
    ("safety", "warmWithinUs"): ("warm_within_ns", 1000),
}


def whole(value, factor):
    return round(value * factor) if factor != 1 else value


def from_wire(env):
    if not isinstance(env, dict):
        raise model.Missing("settings: an object is wanted")
    settings = {"asks": env.get("discovery", "push") == "ask", "per_work": env.get("earningsPer") == "work",
                "customers": [], "grades": []}
    for path, (name, factor) in PLAIN.items():
        value = env
        for part in path:
            value = value.get(part) if isinstance(value, dict) else None
        if value is not None:
            settings[name] = whole(value, factor)
    for row in env.get("orgs") or ():
        settings["customers"].append({"quota": row.get("quotaPerS", 0.0), "share": row.get("share", 0.0)})
    grades = env.get("serviceGrades")
    if not grades:
        raise model.Missing("settings: serviceGrades is missing")
    for number, row in enumerate(grades):
        for name in ("timeLimitUs", "effect"):
            if row.get(name) is None:
                raise model.Missing(f"settings: serviceGrades[{number}].{name} is missing")
        limit = whole(row["timeLimitUs"], 1000)
        settings["grades"].append({
            "number": number, "limit_ns": limit, "goal_ns": whole(row.get("goalTimeUs", limit / 1000), 1000),
            "effect": EFFECTS.get(row["effect"], model.BINDING), "group": row.get("group", "all"),
            "window_ns": whole(row.get("keyTtlUs", 0), 1000), "earnings": row.get("earnings", 1.0),
            "late_earnings": row.get("lateEarnings", 0.0), "stream": row.get("stream", False)})
    reporting = env.get("reporting") or {}
    settings["reports"] = reporting.get("how", "none")
    settings["report_fields"] = [REPORT_WORDS.get(word, word) for word in reporting.get("fields") or ()]
    return settings

"""Versioned configuration, streamed from a control service to every balancer.

The control service keeps a history of signed versions, rolls a version out to its members step by
step, and tracks members by leases. Each balancer verifies a version and checks it against its own
settings, latencies and capacity before it applies it, and keeps the last good version on disk.

Shared by both ends: ``document`` (what a version may change), ``version`` (number and signature),
``merge_patch``, ``frames`` (the stream's format), ``messages`` (bodies of requests), ``auth``
(signed requests), ``safety_checks``.

The service: ``service`` (puts it together), ``http_api``, ``version_catalog``, ``history``
(sqlite), ``rollout`` (state machine), ``rollout_statistics``, ``rollout_driver``,
``member_registry``, ``version_streams``.

The balancer: ``extension`` (hook points), ``stream_client``, ``service_connection``,
``version_applier``, ``last_good``, ``heartbeat``, ``listed_endpoints``, ``fleet_position``,
``balancer_settings`` and ``balancer_view`` (the only modules that depend on the policy's settings
and state).
"""

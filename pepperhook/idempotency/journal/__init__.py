"""The durable journal of idempotency keys: an append-only log in segments, with group commit.

Records are never updated. A segment is deleted once the windows of all its records have ended, so
the log takes about the space of one window's records. ``docs/formats/repeats-journal.md`` has the
format.
"""

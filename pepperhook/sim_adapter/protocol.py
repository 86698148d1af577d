"""Codes and layouts of the simulator's records, big-endian; times in microseconds.

The events have the names that the simulator's protocol specification uses.
"""

import struct

from pepperhook.domain import Outcome, UpstreamState

# Codes of events.
FLEET = 0  # an endpoint list was received, or a poll of it failed
STOP = 1  # a balancer stops
ALARM = 2  # a wake-up
TABLE = 3  # the entries of an endpoint list, to which FLEET refers by number
STARTED = 4  # a response has begun
ATTACH = 5  # a balancer starts
ABANDONED = 6  # a client has disconnected
QUERY = 7  # a client's request
MEMO = 8  # a message from a peer
ABOUT = 9  # number of the instance that the following events are for
REPLY = 10  # an attempt has ended
SAMPLED = 11  # a health check has ended

# Codes of actions.
REJECT = 0
NOTE = 1
CANCEL = 2
INTERNAL_ERROR = 3
WAKE = 5
SEND = 6
FAIL = 7
WATCH = 8
FETCH = 9
CONTEXT = 10  # number of the instance that the following actions come from
HEALTH_CHECK = 12

# Scopes of FLEET. A list with the scope DELTA (0) contains changes only.
FULL, CACHED, FAILED = 1, 2, 3
WHOLE_LISTS = (FULL, CACHED)

# Flags of QUERY.
HAS_COST = 1
IS_RETRY = 2

STATES = {0: UpstreamState.GONE, 1: UpstreamState.READY, 2: UpstreamState.DRAINING}
UNKNOWN_STATE = UpstreamState.DRAINING
OUTCOMES = {
    10: Outcome.SERVED,
    20: Outcome.ERROR,
    30: Outcome.OVERLOADED,
    40: Outcome.TIMED_OUT,
    50: Outcome.CONNECT_FAILED,
    60: Outcome.RESET,
    70: Outcome.CANCELLED,
    80: Outcome.NOT_SENT,
}
UNKNOWN_OUTCOME = Outcome.ERROR

# Fixed-size fields of events; data of variable size may follow them.
ABOUT_FIELDS = struct.Struct(">H")
ABANDONED_FIELDS = struct.Struct(">Q")
ATTACH_FIELDS = struct.Struct(">QI")  # seed, size of the settings
FLEET_FIELDS = struct.Struct(">IBB")  # version, scope, number of the list
MEMO_FIELDS = struct.Struct(">IH")  # peer, size of the message
# Request, service class, tenant, idempotency key, deadline, cost, flags.
QUERY_FIELDS = struct.Struct(">QHIQQIB")
# Request, attempt, upstream, outcome, duration, whether the client has its response.
REPLY_FIELDS = struct.Struct(">QH6sBIB")
SAMPLED_FIELDS = struct.Struct(">6sBI")  # upstream, outcome, duration
STARTED_FIELDS = struct.Struct(">Q6sHI")  # request, upstream, attempt, duration
TABLE_FIELDS = struct.Struct(">BI")  # number of the list, count of its entries
# Address, kind, units, cell, zone, state, time of start.
ENTRY_FIELDS = struct.Struct(">6sHfHBBQ")

# Fields of actions.
CONTEXT_FIELDS = struct.Struct(">H")
SEND_FIELDS = struct.Struct(">Q6sI")  # request, upstream, time limit
CANCEL_FIELDS = struct.Struct(">QH")  # request, attempt
REJECT_FIELDS = struct.Struct(">QI")  # request, advised delay
FAIL_FIELDS = struct.Struct(">Q")
WAKE_FIELDS = struct.Struct(">QI")  # time, tag that ALARM returns
WATCH_FIELDS = b"\x01"
MAX_U32 = 2**32 - 1

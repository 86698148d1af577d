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
REJECT = 0  # final response: rejected, harmless to retry
NOTE = 1  # a line for the operators' log
CANCEL = 2  # cancel an attempt
INTERNAL_ERROR = 3  # an exception in the handling of an event
WAKE = 5  # request an ALARM at a time
SEND = 6  # start an attempt
FAIL = 7  # final response: failed, may have been executed
WATCH = 8  # open a watch on the endpoint list
FETCH = 9  # fetch the whole endpoint list once
CONTEXT = 10  # number of the instance that the following actions come from
HEALTH_CHECK = 12  # check an upstream, and fetch its load report

# Scopes of FLEET. FULL and CACHED: a whole list; DELTA (0): changes only; FAILED: the poll failed.
FULL, CACHED, FAILED = 1, 2, 3
WHOLE_LIST_SCOPES = (FULL, CACHED)

# Flags of QUERY.
HAS_COST = 1
IS_RETRY = 2

STATES = {0: UpstreamState.GONE, 1: UpstreamState.READY, 2: UpstreamState.DRAINING}
STATE_FOR_UNKNOWN_CODE = UpstreamState.DRAINING
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
OUTCOME_FOR_UNKNOWN_CODE = Outcome.ERROR

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

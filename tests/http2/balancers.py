"""Extensions that enable HTTP/2."""

from pepperhook.operator_config.schema import Http2Table
from pepperhook.server.extensions import Extensions

HTTP2_CLIENTS = Extensions(h2=Http2Table())  # to clients only; HTTP/1.1 to upstreams
HTTP2_BOTH_SIDES = Extensions(h2=Http2Table(upstreams="h2"))

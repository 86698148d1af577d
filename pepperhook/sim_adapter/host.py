"""Answers batches of events for any number of balancer instances in one process."""

import traceback
from collections.abc import Sequence

from pepperhook.sim_adapter import codec, protocol
from pepperhook.sim_adapter.codec import Batch, MalformedInputError, Record
from pepperhook.sim_adapter.instance import EndpointLists, Instance
from pepperhook.units import MICROSECOND


class Host:
    """Stores the instances and the endpoint lists from the simulator, each by number."""

    def __init__(self) -> None:
        """Start empty; an instance is created by the first event for its number."""
        self.instances: dict[int, Instance] = {}
        self.endpoint_lists: EndpointLists = {}

    def answer(self, batch: Batch) -> list[bytes]:
        """Return the records of the reply, in the order of the events that caused them.

        Raises MalformedInputError. Any other error in an event becomes an INTERNAL_ERROR record.
        """
        now = batch.clock_us * MICROSECOND
        number: int | None = None
        reply = ReplyRecords()
        for record in batch.records:
            if record.code == protocol.ABOUT:
                (number,) = codec.unpack(protocol.ABOUT_FIELDS, record.fields, "ABOUT")
            elif record.code == protocol.TABLE:
                endpoint_list = codec.read_endpoint_list(record.fields)
                self.endpoint_lists[endpoint_list.number] = endpoint_list.entries
            elif number is None:
                raise MalformedInputError(f"event code {record.code} precedes the first ABOUT")
            else:
                reply.extend(number, self._answer_event(now, number, record))
        return reply.records

    def _answer_event(self, now: int, number: int, event: Record) -> list[bytes]:
        instance = self.instances.setdefault(number, Instance())
        try:
            actions = instance.handle(now, event.code, event.fields, self.endpoint_lists)
            return [instance.encode(action) for action in actions]
        except MalformedInputError:
            raise
        except Exception as error:
            return [_encode_internal_error(error)]


class ReplyRecords:
    """The records of one reply; a CONTEXT record announces each change of instance."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[bytes] = []
        self._current_number: int | None = None

    def extend(self, number: int, records: Sequence[bytes]) -> None:
        """Add the encoded actions of instance ``number``."""
        if not records:
            return
        if number != self._current_number:
            fields = protocol.CONTEXT_FIELDS.pack(number)
            self.records.append(codec.encode_record(protocol.CONTEXT, fields))
            self._current_number = number
        self.records.extend(records)


def _encode_internal_error(error: Exception) -> bytes:
    """Print the traceback, and return a record with the error and where it was raised."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    traceback.print_exception(error)
    text = f"{type(error).__name__}: {error} ({frame.name}, line {frame.lineno})"
    return codec.encode_text_record(protocol.INTERNAL_ERROR, text)

"""Answers batches of events for any number of balancer instances in one process."""

import traceback
from collections.abc import Sequence

from pepperhook.sim_adapter import codec, protocol
from pepperhook.sim_adapter.codec import Batch, MalformedInputError, Record
from pepperhook.sim_adapter.instance import EndpointLists, Instance
from pepperhook.units import MICROSECOND


class Host:
    """Stores the instances and the simulator's endpoint lists, each by number."""

    def __init__(self) -> None:
        """Start empty; an instance is created by the first event for its number."""
        self.instances: dict[int, Instance] = {}
        self.endpoint_lists: EndpointLists = {}

    def answer(self, batch: Batch) -> list[bytes]:
        """Return the records of the reply, in the order of the events that caused them.

        Raises MalformedInputError. Any other error in an event becomes an INTERNAL_ERROR record.
        """
        now = batch.clock_us * MICROSECOND
        instance_number: int | None = None
        reply = ReplyRecords()
        for record in batch.records:
            if record.code == protocol.ABOUT:
                (instance_number,) = codec.unpack(protocol.ABOUT_FIELDS, record.fields, "ABOUT")
            elif record.code == protocol.TABLE:
                endpoint_list = codec.read_endpoint_list(record.fields)
                self.endpoint_lists[endpoint_list.number] = endpoint_list.entries
            elif instance_number is None:
                raise MalformedInputError(f"event code {record.code} precedes the first ABOUT")
            else:
                reply.extend(instance_number, self._answer_event(now, instance_number, record))
        return reply.records

    def _answer_event(self, now: int, instance_number: int, event: Record) -> list[bytes]:
        instance = self.instances.setdefault(instance_number, Instance())
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
        self._current_instance_number: int | None = None

    def extend(self, instance_number: int, records: Sequence[bytes]) -> None:
        """Add the encoded actions of an instance."""
        if not records:
            return
        if instance_number != self._current_instance_number:
            fields = protocol.CONTEXT_FIELDS.pack(instance_number)
            self.records.append(codec.encode_record(protocol.CONTEXT, fields))
            self._current_instance_number = instance_number
        self.records.extend(records)


def _encode_internal_error(error: Exception) -> bytes:
    """Print the traceback, and return a record with the error and where it was raised."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    traceback.print_exception(error)
    text = f"{type(error).__name__}: {error} ({frame.name}, line {frame.lineno})"
    return codec.encode_text_record(protocol.INTERNAL_ERROR, text)

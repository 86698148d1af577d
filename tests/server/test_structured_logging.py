"""Log lines of key=value pairs."""

import logging

from pepperhook.server import structured_logging
from pepperhook.server.metrics import Counters


def formatted(caplog):
    formatter = structured_logging.KeyValueFormatter()
    return [formatter.format(record) for record in caplog.records]


def test_each_event_is_one_line_of_key_value_pairs_with_quoted_values(caplog):
    log = structured_logging.Log(logging.getLogger("test"))
    counters = Counters(log)
    with caplog.at_level(logging.INFO):
        log.info("odd", name="a b", text='say "x"\n=', empty="", count=3)
        try:
            raise ValueError("two\nlines")
        except ValueError:
            log.exception("fault", call="take")
        counters.add("dispatches timed out")
        counters.log_all()

    event, fault, counted = formatted(caplog)

    assert event.endswith(
        'Z level=info event=odd name="a b" text="say \\"x\\"\\n=" empty="" count=3'
    )
    assert 'level=error event=fault call=take error="ValueError: two\\nlines" at=' in fault
    assert counted.endswith("event=counters dispatches_timed_out=1")
    assert not any("\n" in line for line in (event, fault, counted))

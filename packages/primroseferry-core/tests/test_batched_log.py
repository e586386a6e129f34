from __future__ import annotations

import json
import logging
import os
import threading
from typing import TYPE_CHECKING

from primroseferry_core.batched_log import BatchedLogHandler
from primroseferry_core.logs import LOGGER_NAME

if TYPE_CHECKING:
    import pytest


def test_log_writer_continues_after_a_failure_and_counts_the_lost_lines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    reader, writer = os.pipe()
    handler = BatchedLogHandler(writer)
    handler.setFormatter(logging.Formatter('{"message": "%(message)s"}'))
    write = BatchedLogHandler._write
    has_failed = threading.Event()

    def fail_once(failing: BatchedLogHandler, text: str) -> None:
        monkeypatch.setattr(BatchedLogHandler, "_write", write)
        has_failed.set()
        raise MemoryError("injected")

    monkeypatch.setattr(BatchedLogHandler, "_write", fail_once)
    record = logging.LogRecord(LOGGER_NAME, logging.INFO, "", 0, "first", (), None)
    handler.emit(record)
    assert has_failed.wait(5)
    handler.emit(logging.LogRecord(LOGGER_NAME, logging.INFO, "", 0, "second", (), None))
    handler.close()
    os.close(writer)
    with os.fdopen(reader) as lines:
        assert [json.loads(line) for line in lines] == [
            {"message": "second"},
            {"message": "log lines dropped", "dropped": 1},
        ]

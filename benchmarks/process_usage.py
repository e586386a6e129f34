"""Reads the processor time and memory of a process from ``/proc``."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseferry_standins.process import Process

PEAK_MEMORY = "VmHWM:"
CURRENT_MEMORY = "VmRSS:"


def cpu_s(process: Process) -> float:
    """Return the processor time used so far, in seconds."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(process: Process, kind: str) -> float:
    """Return the resident memory, ``PEAK_MEMORY`` or ``CURRENT_MEMORY``, in MB."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith(kind):
            return int(line.split()[1]) / 1024
    return 0.0

"""Divides the memory and the descriptors of an instance among what clients can make it hold."""

from __future__ import annotations

import ctypes
import sys
from dataclasses import dataclass

from primroseferry_transport.answer_buffers import DEFAULT_MAX_BUFFERED_BYTES
from primroseferry_transport.unsent_bytes import DEFAULT_LIMIT_BYTES

from ..ingress.request_bodies import DEFAULT_MAX_BYTES

MEBIBYTE = 1024 * 1024
# The process stays below this share of its memory.
USABLE_MEMORY_SHARE = 0.75
# What a gateway takes without clients, with the metrics library and some hundred threads.
BASE_MEMORY_BYTES = 50 * MEBIBYTE
# Shares of the remaining memory. Requests and answers can reach twice their limits when many small
# ones share them, and requests are held a second time while they are sent.
REQUEST_SHARE = 0.15
ANSWER_SHARE = 0.2
UNSENT_SHARE = 0.1
# One request, answer or event of the largest size is served whatever the memory is.
MIN_REQUEST_BYTES = 5 * MEBIBYTE
MIN_ANSWER_BYTES = 17 * MEBIBYTE
MIN_UNSENT_BYTES = 3 * MEBIBYTE
# Descriptors for the store, other gateways, logs and calls to endpoints are not in these shares.
USABLE_FD_SHARE = 0.75
RESERVED_FDS = 64
FRONT_FD_SHARE = 0.3
HOP_FD_SHARE = 0.2
DIRECTORY_FD_SHARE = 0.1
MIN_CONNECTIONS = 16
# From malloc.h. A fixed threshold returns large bodies to the kernel as soon as they are freed;
# by default it rises to the largest body freed, and later ones stay in the heap.
_M_MMAP_THRESHOLD = -3
MMAP_THRESHOLD_BYTES = 128 * 1024
# A heap for each of hundreds of threads would keep what one of them has freed from the others.
_M_ARENA_MAX = -8
MAX_HEAPS = 2


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """The bytes and connections that clients can make a gateway hold.

    ``request_bytes`` covers bodies and parsed heads, ``answer_bytes`` the answers of endpoints,
    ``unsent_bytes`` the events that callers have not read.
    """

    request_bytes: int
    answer_bytes: int
    unsent_bytes: int
    front_connections: int
    hop_connections: int
    directory_connections: int


def process_limits(
    memory_mb: int, max_fds: int, max_connections: int, max_directory_connections: int
) -> ProcessLimits:
    """Return the limits for an instance, never above the defaults; 0 stands for unknown.

    >>> process_limits(0, 0, 600, 256) == process_limits(10_000, 10_000, 600, 256)
    True
    >>> process_limits(200, 4_100, 600, 256).request_bytes // MEBIBYTE
    15
    """
    free_bytes = memory_mb * MEBIBYTE * USABLE_MEMORY_SHARE - BASE_MEMORY_BYTES

    def memory(share: float, minimum: int, default: int) -> int:
        return min(default, max(minimum, int(free_bytes * share))) if memory_mb else default

    free_fds = max_fds * USABLE_FD_SHARE - RESERVED_FDS

    def connections(share: float, default: int) -> int:
        return min(default, max(MIN_CONNECTIONS, int(free_fds * share))) if max_fds else default

    return ProcessLimits(
        memory(REQUEST_SHARE, MIN_REQUEST_BYTES, DEFAULT_MAX_BYTES),
        memory(ANSWER_SHARE, MIN_ANSWER_BYTES, DEFAULT_MAX_BUFFERED_BYTES),
        memory(UNSENT_SHARE, MIN_UNSENT_BYTES, DEFAULT_LIMIT_BYTES),
        connections(FRONT_FD_SHARE, max_connections),
        connections(HOP_FD_SHARE, max_connections),
        connections(DIRECTORY_FD_SHARE, max_directory_connections),
    )


def configure_heap() -> None:
    """Have freed memory returned to the kernel or reused by all threads, where glibc is used."""
    if sys.platform != "linux":
        return
    set_option = getattr(ctypes.CDLL(None), "mallopt", None)
    if set_option is not None:
        set_option(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
        set_option(_M_ARENA_MAX, MAX_HEAPS)

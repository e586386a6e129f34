"""Opens the plan store for one command."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from primroseferry_platform.key_value import KeyValueClient
from primroseferry_transport.curl_loop import CurlLoop

from .plan_store import PlanStore

if TYPE_CHECKING:
    from collections.abc import Iterator


@contextmanager
def open_plan_store(address: str) -> Iterator[PlanStore]:
    """Yield a plan store on the key-value service at ``address`` (``ip:port``)."""
    loop = CurlLoop("cli")
    try:
        yield PlanStore(KeyValueClient(loop, address))
    finally:
        loop.close()

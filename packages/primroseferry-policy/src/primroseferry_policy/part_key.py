"""Keys under which suspicions against parts of prompts are kept, beside those of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash
from primroseferry_core.ids import Fingerprint

if TYPE_CHECKING:
    from primroseferry_core.ids import ServiceId

    from .prompt import PartId

_PREFIX = "part:"
# Keys are also keys of the platform's store, and callers choose the ids.
MAX_NAME_LENGTH = 120


def part_key(service: ServiceId, part: PartId) -> Fingerprint:
    """Return the key of a part in the prompts of one service.

    >>> part_key("engines", "5c1e07a2")
    'part:engines/5c1e07a2'
    """
    name = f"{service}/{part}"
    if len(name) > MAX_NAME_LENGTH or not name.isprintable():
        name = xxhash.xxh3_128_hexdigest(name.encode(errors="replace"))
    return Fingerprint(f"{_PREFIX}{name}")


def is_part_key(key: Fingerprint) -> bool:
    """Whether a suspicion is against a part of prompts rather than against one request."""
    return key.startswith(_PREFIX)

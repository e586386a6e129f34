"""The software versions of endpoints, as gateways compare them and tell each other."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NewType

import xxhash

if TYPE_CHECKING:
    from primroseferry_core.ids import ServiceId
    from primroseferry_core.ids import SoftwareVersion

VersionHash = NewType("VersionHash", int)

# The version of a stream whose origin is not known for certain. No endpoint has it.
UNKNOWN_VERSION = VersionHash(0)


def agreed_version(known: VersionHash | None, told: VersionHash) -> VersionHash:
    """Return the version of a stream by two sources, unknown if they differ.

    ``known`` is ``None`` if only one source names the stream.
    """
    return told if known in (None, told) else UNKNOWN_VERSION


def version_hash(service: ServiceId, version: SoftwareVersion) -> VersionHash:
    """Return a 64-bit hash, above 0, that identifies a version of a service's software.

    Endpoints whose entries name no version share one version, the empty one.
    """
    return VersionHash(xxhash.xxh3_64_intdigest(f"{service}\0{version}".encode()) or 1)

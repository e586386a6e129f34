"""Workspaces of the route table: who may call, how urgently, where, and how much."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from primroseferry_core.ids import RegionId
    from primroseferry_core.ids import WorkspaceId

# Keys the hashes of this process, so that the time of a look-up tells nothing about other keys.
_HASH_KEY = secrets.token_bytes(32)


class QuotaUnit(Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class Quota:
    """What a workspace may send through all gateways together.

    ``rate_per_s`` and ``burst`` are in units of ``unit``. With tokens, a request costs the sum of
    its prompt tokens and its maximum output tokens, or ``uncached_tokens`` if it names neither.
    """

    rate_per_s: float
    burst: float
    unit: QuotaUnit
    uncached_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace and its rules for requests.

    ``priority`` replaces the priority of a request's route unless it is ``None``. Only
    ``home_regions`` may serve the requests; empty means all regions. ``quota`` is ``None`` if there
    is no limit.
    """

    name: WorkspaceId
    priority: int | None = None
    home_regions: frozenset[RegionId] = frozenset()
    quota: Quota | None = None


class WorkspaceDirectory:
    """The workspaces of one route table, by name and by API key.

    Only keyed hashes of the API keys are kept.

    >>> from primroseferry_core.ids import WorkspaceId
    >>> directory = WorkspaceDirectory([(Workspace(WorkspaceId("core")), ["k-1"])])
    >>> found = directory.find_by_key("k-1")
    >>> found.name if found else None
    'core'
    >>> directory.find_by_key("k-2") is None
    True
    """

    def __init__(self, workspaces: Iterable[tuple[Workspace, Iterable[str]]]) -> None:
        self._by_name: dict[WorkspaceId, Workspace] = {}
        self._by_digest: dict[bytes, tuple[bytes, Workspace]] = {}
        for workspace, api_keys in workspaces:
            if workspace.name in self._by_name:
                raise ValueError(f"workspace {workspace.name} is listed twice")
            self._by_name[workspace.name] = workspace
            for api_key in api_keys:
                digest = _digest(api_key)
                if self._by_digest.setdefault(digest, (digest, workspace))[1] is not workspace:
                    raise ValueError(f"a key of workspace {workspace.name} belongs to another one")

    def find_by_key(self, api_key: str) -> Workspace | None:
        """Return the workspace that holds an API key, ``None`` if none does."""
        digest = _digest(api_key)
        known, workspace = self._by_digest.get(digest, (b"", None))
        return workspace if api_key and hmac.compare_digest(known, digest) else None

    def find(self, name: WorkspaceId) -> Workspace | None:
        """Return the workspace of a name."""
        return self._by_name.get(name)

    @property
    def by_name(self) -> Mapping[WorkspaceId, Workspace]:
        """All workspaces."""
        return self._by_name


def _digest(api_key: str) -> bytes:
    data = api_key.encode("utf-8", "surrogatepass")
    return hmac.new(_HASH_KEY, data, hashlib.blake2s).digest()

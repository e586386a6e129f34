from __future__ import annotations

from primroseferry_core.hashing import rendezvous_order
from primroseferry_core.hashing import request_fingerprint


def test_rendezvous_order_of_remaining_members_is_stable() -> None:
    members = [f"gateway-{number}" for number in range(20)]
    before = rendezvous_order("plans", members)

    after = rendezvous_order("plans", [name for name in members if name != before[3]])

    assert after == before[:3] + before[4:]


def test_fingerprint_depends_on_customer_and_body() -> None:
    fingerprints = {
        request_fingerprint("shop", "small", b"body"),
        request_fingerprint("kiosk", "small", b"body"),
        request_fingerprint("shop", "small", b"other"),
    }

    assert len(fingerprints) == 3
    assert request_fingerprint("shop", "small", b"body") in fingerprints

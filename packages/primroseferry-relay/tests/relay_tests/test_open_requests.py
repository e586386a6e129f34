"""The register of the requests that a gateway is serving."""

from __future__ import annotations

import time

import pytest
from primroseferry_core.ids import RequestId
from primroseferry_relay.open_requests import OpenRequest
from primroseferry_relay.open_requests import OpenRequests
from primroseferry_relay.open_requests import Origin


def request(origin: Origin, age_s: float = 0.0) -> OpenRequest:
    return OpenRequest(RequestId("r1"), origin, "route", time.monotonic() - age_s)


def test_requests_are_registered_while_they_are_served() -> None:
    requests = OpenRequests()
    with (
        requests.serving(request(Origin.CALLER, age_s=2)),
        requests.serving(request(Origin.GATEWAY)),
    ):
        assert [request.origin for request in requests.all()] == [Origin.CALLER, Origin.GATEWAY]
        assert requests.count(Origin.CALLER) == requests.count(Origin.GATEWAY) == 1
        assert requests.longest_ms("route") >= 2_000
        assert requests.longest_ms("other") == 0
    assert requests.all() == []


def test_request_that_fails_is_not_left_registered() -> None:
    requests = OpenRequests()
    with pytest.raises(ValueError, match="broken"), requests.serving(request(Origin.CALLER)):
        raise ValueError("broken")
    assert requests.all() == []

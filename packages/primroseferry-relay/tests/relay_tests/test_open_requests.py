"""The register of the requests that a gateway is serving."""

from __future__ import annotations

import time

import pytest
from primroseferry_core.ids import RequestId
from primroseferry_relay.open_requests import OpenRequests
from primroseferry_relay.open_requests import Origin


def test_requests_are_registered_while_they_are_served() -> None:
    requests = OpenRequests()
    with (
        requests.serving(RequestId("r1"), Origin.CALLER, time.monotonic() - 2),
        requests.serving(RequestId("r1"), Origin.GATEWAY, time.monotonic()),
    ):
        assert [request.origin for request in requests.all()] == [Origin.CALLER, Origin.GATEWAY]
        assert requests.count(Origin.CALLER) == requests.count(Origin.GATEWAY) == 1
        assert requests.all()[0].age_ms >= 2_000
    assert requests.all() == []


def test_request_that_fails_is_not_left_registered() -> None:
    requests = OpenRequests()
    with (
        pytest.raises(ValueError, match="broken"),
        requests.serving(RequestId("r1"), Origin.CALLER, time.monotonic()),
    ):
        raise ValueError("broken")
    assert requests.all() == []

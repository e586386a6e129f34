"""Clients of the platform whose answers have status 200 and any content."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import ProblemError
from primroseferry_core.ids import RegionId
from primroseferry_platform.client_directory import ClientDirectory
from primroseferry_platform.instance_list import InstanceListClient
from primroseferry_platform.key_value import KeyValueClient
from primroseferry_platform.key_value import WriteFailure
from primroseferry_transport.calls import HttpReply
from result import Err
from result import Ok

if TYPE_CHECKING:
    from primroseferry_transport.calls import HttpCall
    from primroseferry_transport.curl_loop import CurlLoop

ADDRESS = "127.0.0.1:1"
NORTH = RegionId("north")
NAMES = ["customer", "region", "lease", "revision", "instances", "instance", "kind", "state"]

values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(NAMES), inner, max_size=3),
    max_leaves=6,
)
bodies = st.binary(max_size=20) | values.map(lambda value: json.dumps(value).encode())


class AnsweringLoop:
    """Answers each call in the same way."""

    def __init__(self, body: bytes, headers: dict[str, str] | None = None) -> None:
        self._reply = HttpReply(200, headers or {}, body)

    def call(self, _call: HttpCall) -> Ok[HttpReply]:
        return Ok(self._reply)


def _loop(body: bytes, headers: dict[str, str] | None = None) -> CurlLoop:
    return cast("CurlLoop", AnsweringLoop(body, headers))


def test_deeply_nested_answers_are_outages() -> None:
    loop = _loop(b"[" * 100_000)
    with pytest.raises(ProblemError):
        ClientDirectory(loop, ADDRESS).authenticate("token")
    assert isinstance(InstanceListClient(loop, ADDRESS, NORTH).fetch(), Err)
    assert isinstance(KeyValueClient(loop, ADDRESS).grant_lease(1_000), Err)


@settings(derandomize=True, deadline=None)
@given(bodies)
def test_directory_answer_of_any_content_raises_a_problem_or_names_a_client(body: bytes) -> None:
    directory = ClientDirectory(_loop(body), ADDRESS)
    kind = None
    try:
        client = directory.authenticate("token")
    except ProblemError as error:
        kind = error.problem.kind
    else:
        assert isinstance(client.customer, str)
        assert isinstance(client.home_region, str)
    assert kind in (None, ErrorKind.GATEWAY_NOT_READY)


@settings(derandomize=True, deadline=None)
@given(bodies)
def test_instance_list_of_any_content_is_returned_as_a_result(body: bytes) -> None:
    result = InstanceListClient(_loop(body), ADDRESS, NORTH).fetch()
    assert isinstance(result, Ok | Err)


@pytest.mark.parametrize(
    "row",
    [
        None,
        "x",
        [],
        {"instance": ["a"]},
        {"instance": 7, "address": None},
        {"instance": "g-2", "kind": [], "state": "live"},
    ],
)
def test_malformed_row_of_the_instance_list_is_skipped(row: Any) -> None:
    valid = {
        "instance": "g-1",
        "kind": "gateway",
        "state": "live",
        "region": "north",
        "failure_domain": "north-a",
        "address": "10.0.0.1:80",
    }
    if isinstance(row, dict):
        row = {**valid, **row}
    body = json.dumps({"instances": [row, valid]}).encode()
    instances = InstanceListClient(_loop(body), ADDRESS, NORTH).fetch().unwrap()
    assert [instance.instance for instance in instances] == ["g-1"]


@settings(derandomize=True, deadline=None)
@given(bodies)
def test_key_value_answer_of_any_content_is_returned_as_a_result(body: bytes) -> None:
    client = KeyValueClient(_loop(body), ADDRESS)
    lease = client.grant_lease(1_000)
    assert isinstance(lease, Err) or lease.unwrap()
    # The write may have taken effect.
    written = client.put("key", b"value", 0)
    assert isinstance(written, Ok) or written.unwrap_err() is WriteFailure.UNKNOWN


@pytest.mark.parametrize("revision", [None, "", "x", "1.5", "-1", "9" * 5_000])
def test_entry_without_a_valid_revision_is_an_outage(revision: str | None) -> None:
    headers = {"x-revision": revision} if revision is not None else {}
    client = KeyValueClient(_loop(b"value", headers), ADDRESS)
    assert isinstance(client.get("key"), Err)
    assert isinstance(client.watch("key", 0, 1), Err)

"""Answers of the platform whose head is broken are outages, whatever their body holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from primroseferry_core.errors import ProblemError
from primroseferry_core.ids import RegionId
from primroseferry_platform.client_directory import ClientDirectory
from primroseferry_platform.instance_list import InstanceListClient
from primroseferry_platform.key_value import KeyValueClient
from primroseferry_standins.raw_answer_server import RawAnswerServer

if TYPE_CHECKING:
    from primroseferry_transport.curl_loop import CurlLoop

BODY = b'{"customer": "c", "instances": [], "revision": 3}'
BROKEN_HEADS = [
    b"X Y: a\r\nContent-Length: %d\r\n" % len(BODY),
    b"X-A: a\x01b\r\nContent-Length: %d\r\n" % len(BODY),
    b"Content Length: 5\r\n",
    b"Content-Length: %d, %d\r\n" % (len(BODY), len(BODY)),
    b"Content-Length: 99999999999999999999\r\n",
    b"Transfer-Encoding: identity\r\n",
]


@pytest.mark.parametrize("lines", BROKEN_HEADS)
def test_broken_answer_of_the_platform_is_an_outage(loop: CurlLoop, lines: bytes) -> None:
    head = b"HTTP/1.1 200 OK\r\nX-Revision: 3\r\n" + lines
    server = RawAnswerServer(head + b"\r\n" + BODY, closes=True)
    assert KeyValueClient(loop, server.address).get("plans").is_err()
    assert KeyValueClient(loop, server.address).put("plans", b"a", 2).is_err()
    assert InstanceListClient(loop, server.address, RegionId("north")).fetch().is_err()
    with pytest.raises(ProblemError):
        ClientDirectory(loop, server.address).authenticate("token")
    server.close()

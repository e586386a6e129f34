"""Decodes the lines of answer heads and trailers, and refuses those that HTTP/1.1 does not allow.

libcurl passes on many lines that RFC 9112 does not allow, and each version others. What is checked
here does not depend on it.
"""

from __future__ import annotations

import re

from .calls import Header

MAX_LENGTH_BYTES = 2**63 - 1
MAX_QUOTED_BYTES = 40
_STATUS_LINE = re.compile(rb"HTTP/1\.([0-9]) ([0-9]{3})(?: ([\t\x20-\x7e\x80-\xff]*))?\r?\n")
_FIELD_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*)\r?\n")
_LENGTH = re.compile("0*([0-9]{1,19})")
_EMPTY_LINES = frozenset({b"\r\n", b"\n"})
_BLANKS = " \t"
# Interim answers that precede the final one. 101 is not one of them: no call asks for an upgrade.
_INTERIM_STATUSES = frozenset({100, 102, 103})
# Memory of a header line beside its bytes: the strings, the header and its place in the map.
_HEADER_OVERHEAD_BYTES = 400


class InvalidAnswerError(ValueError):
    """The lines received are no answer of HTTP/1.1."""


class HeadDecoder:
    """Decodes the heads of one answer line by line: interim ones first, then the final one.

    All attributes describe the last head. ``headers`` maps each name in lower case to its last
    value, ``length_bytes`` is the body's length if the head states it, and ``size_bytes`` the
    memory that the head takes.

    >>> decoder = HeadDecoder()
    >>> [decoder.decode(line) for line in (b"HTTP/1.1 200 OK\\r\\n", b"Content-Length: 3\\r\\n")]
    [False, False]
    >>> decoder.decode(b"\\r\\n")
    True
    >>> decoder.status, decoder.length_bytes
    (200, 3)
    """

    __slots__ = (
        "_is_at_status_line",
        "_is_http_1_0",
        "header_lines",
        "headers",
        "is_chunked",
        "is_complete",
        "length_bytes",
        "reason",
        "size_bytes",
        "status",
    )

    def __init__(self) -> None:
        self.status = 0
        self.reason = ""
        self.headers: dict[str, str] = {}
        self.header_lines: list[Header] = []
        self.length_bytes: int | None = None
        self.is_chunked = False
        self.is_complete = False
        self.size_bytes = 0
        self._is_at_status_line = True
        self._is_http_1_0 = False

    def decode(self, line: bytes) -> bool:
        """Decode the next line, with its line end; return whether it ends the final head.

        Lines after that are trailers, which are checked and discarded. A line without its end, in
        which the connection broke off, is ignored. Raises ``InvalidAnswerError``.
        """
        if not line.endswith(b"\n"):
            return False
        if self.is_complete:
            if not is_trailer_line(line):
                raise InvalidAnswerError(f"invalid trailer {_quoted(line)}")
            return False
        if self._is_at_status_line:
            self._decode_status_line(line)
            return False
        if line not in _EMPTY_LINES:
            self._decode_field(line)
            return False
        self._is_at_status_line = True
        if self.status in _INTERIM_STATUSES:
            return False
        self._decode_framing()
        self.is_complete = True
        return True

    def _decode_status_line(self, line: bytes) -> None:
        match = _STATUS_LINE.fullmatch(line)
        status = 0 if match is None else int(match[2])
        if match is None or not (200 <= status < 600 or status in _INTERIM_STATUSES):
            raise InvalidAnswerError(f"invalid status line {line[:MAX_QUOTED_BYTES]!r}")
        self.headers.clear()
        self.header_lines.clear()
        self.size_bytes = 0
        self.status = status
        self.reason = (match[3] or b"").decode("latin-1").strip(_BLANKS)
        self._is_http_1_0 = match[1] == b"0"
        self._is_at_status_line = False

    def _decode_field(self, line: bytes) -> None:
        match = _FIELD_LINE.fullmatch(line)
        if match is None:
            raise InvalidAnswerError(f"invalid header field {_quoted(line)}")
        name = match[1].decode("latin-1")
        value = match[2].decode("latin-1").strip(_BLANKS)
        self.headers[name.lower()] = value
        self.header_lines.append(Header(name, value))
        self.size_bytes += len(line) + _HEADER_OVERHEAD_BYTES

    def _decode_framing(self) -> None:
        """Read how the head tells the end of the body.

        libcurl reads the same fields, so only values are accepted that have one meaning.
        """
        lengths = self._values("content-length")
        codings = self._values("transfer-encoding")
        if lengths and codings:
            raise InvalidAnswerError("a Content-Length beside a Transfer-Encoding")
        if lengths:
            self.length_bytes = _parse_lengths(lengths)
        if codings:
            if self._is_http_1_0 or not _is_chunked(codings):
                text = ", ".join(codings)[:MAX_QUOTED_BYTES]
                raise InvalidAnswerError(f"invalid Transfer-Encoding {text!a}")
            self.is_chunked = True

    def _values(self, name: str) -> list[str]:
        if name not in self.headers:
            return []
        return [line.value for line in self.header_lines if line.name.lower() == name]


def is_trailer_line(line: bytes) -> bool:
    """Return whether a line with its line end is a valid trailer field."""
    return _FIELD_LINE.fullmatch(line) is not None


def _parse_lengths(values: list[str]) -> int:
    text = ", ".join(values)
    match = _LENGTH.fullmatch(text)
    length_bytes = MAX_LENGTH_BYTES + 1 if match is None else int(match[1])
    if length_bytes > MAX_LENGTH_BYTES:
        raise InvalidAnswerError(f"invalid Content-Length {text[:MAX_QUOTED_BYTES]!a}")
    return length_bytes


def _is_chunked(values: list[str]) -> bool:
    """Whether ``chunked`` is the only coding; ``identity`` before it changes nothing."""
    codings = [coding.strip(_BLANKS).lower() for value in values for coding in value.split(",")]
    *others, last = [coding for coding in codings if coding] or [""]
    return last == "chunked" and set(others) <= {"identity"}


def _quoted(line: bytes) -> str:
    """Quote the name of a field only, since values may be secret."""
    return repr(line.partition(b":")[0][:MAX_QUOTED_BYTES])

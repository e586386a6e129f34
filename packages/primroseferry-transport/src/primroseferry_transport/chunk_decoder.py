"""Decodes chunked bodies of HTTP/1.1 and detects the last chunk."""

from __future__ import annotations

import re

from .head_decoder import is_trailer_line

# Bound of the extensions of one chunk, and of all trailers together.
MAX_LINE_BYTES = 16_384
_SIZE_LINE = re.compile(
    rb"([0-9A-Fa-f]{1,16})[ \t]{0,16}(?:;[^\n]{0,%d})?\r?\n" % (MAX_LINE_BYTES - 64)
)
_LINE_END = re.compile(rb"\r?\n")


class ChunkDecoder:
    """Decodes one chunked body that arrives in pieces.

    A body that breaks off never becomes complete, neither does one with an invalid chunk or an
    invalid trailer. Lines may end without a carriage return, as libcurl permits. Trailers are
    checked and discarded.

    >>> decoder = ChunkDecoder()
    >>> decoder.decode(b"3;a=b\\r\\nabc\\r\\n2\\r\\nd")
    [b'abc', b'd']
    >>> decoder.decode(b"e\\r\\n0\\r\\n\\r\\n")
    [b'e']
    >>> decoder.is_complete
    True
    """

    __slots__ = (
        "_data_bytes",
        "_is_after_data",
        "_is_at_size",
        "_is_in_trailers",
        "_rest",
        "_trailer_bytes",
        "has_invalid_trailer",
        "has_surplus",
        "is_complete",
        "is_invalid",
    )

    def __init__(self) -> None:
        self.is_complete = False
        self.is_invalid = False
        # Bytes followed the end of the body.
        self.has_surplus = False
        self.has_invalid_trailer = False
        self._rest = b""
        self._data_bytes = 0
        self._is_at_size = True
        self._is_after_data = False
        self._is_in_trailers = False
        self._trailer_bytes = 0

    def decode(self, data: bytes) -> list[bytes]:
        """Return the chunks in ``data``, or their parts, up to the last or an invalid one."""
        if self._is_at_size:
            # A token of a stream usually arrives as one whole chunk.
            line = _SIZE_LINE.match(data)
            if line is not None:
                start = line.end()
                end = start + int(line[1], 16)
                if end > start and data[end:] == b"\r\n":
                    return [data[start:end]]
        if self.is_complete or self.is_invalid:
            self.has_surplus = self.has_surplus or (self.is_complete and bool(data))
            return []
        parts = self._decode_any(data)
        self._is_at_size = not (
            self._rest
            or self._data_bytes
            or self._is_after_data
            or self._is_in_trailers
            or self.is_invalid
        )
        return parts

    def _decode_any(self, data: bytes) -> list[bytes]:
        if self._rest:
            data = self._rest + data
            self._rest = b""
        parts = []
        position = 0
        end = len(data)
        while position < end and not self._is_in_trailers:
            if self._data_bytes:
                part = data[position : position + self._data_bytes]
                parts.append(part)
                position += len(part)
                self._data_bytes -= len(part)
                self._is_after_data = not self._data_bytes
                continue
            line = (_LINE_END if self._is_after_data else _SIZE_LINE).match(data, position)
            if line is None:
                self._keep_line(data, position)
                break
            position = line.end()
            if self._is_after_data:
                self._is_after_data = False
            else:
                self._data_bytes = int(line[1], 16)
                self._is_in_trailers = not self._data_bytes
        if self._is_in_trailers:
            self._skip_trailers(data, position)
        return parts

    def _keep_line(self, data: bytes, position: int) -> None:
        """Keep an incomplete line until the rest of it arrives."""
        line = data[position:]
        max_bytes = 1 if self._is_after_data else MAX_LINE_BYTES
        if b"\n" in line or len(line) > max_bytes:
            self.is_invalid = True
        else:
            self._rest = line

    def _skip_trailers(self, data: bytes, position: int) -> None:
        while not self.is_complete:
            line_end = data.find(b"\n", position) + 1
            if not line_end:
                break
            line = data[position:line_end]
            self.is_complete = line in (b"\r\n", b"\n")
            if not self.is_complete and not is_trailer_line(line):
                self.is_invalid = self.has_invalid_trailer = True
                return
            self._trailer_bytes += len(line)
            position = line_end
        rest = data[position:]
        if self.is_complete:
            self.has_surplus = bool(rest)
        elif self._trailer_bytes + len(rest) > MAX_LINE_BYTES:
            self.is_invalid = True
        else:
            self._rest = rest

"""What clients send that don't behave; each iterator is one client's bytes."""

from __future__ import annotations

import itertools
import string
from collections.abc import Iterable, Iterator

PIECE_BYTES = 262_144
"""Bytes that a client writes at once."""

MAX_BODY_BYTES = 4_194_304
"""The largest body that the users' configurations allow."""

MAX_HEAD_BYTES = 16_384
"""The largest head that they allow."""

SHORT_NAMES = tuple(
    "".join(letters) for letters in itertools.product(string.ascii_letters, repeat=2)
)


class RequestWriter:
    """Writes requests to one front end.

    Parameters
    ----------
    host, key : str
        Host and credential of the requests.
    path : str
        Path of ordinary requests.
    """

    def __init__(self, host: str, key: str, path: str):
        self._host = host
        self._key = key
        self._path = path

    def whole(self, path: str = "", body: bytes = b"work", extra: str = "") -> bytes:
        """Return a request with a length."""
        return self._head(path, f"Content-Length: {len(body)}\r\n{extra}") + body

    def chunked(self, path: str = "") -> bytes:
        """Return the head of a request with a chunked body."""
        return self._head(path, "Transfer-Encoding: chunked\r\n")

    def unfinished(self, extra: str) -> Iterable[bytes]:
        """Return a request with more header lines, without the end of its body."""
        return [self.whole(extra=extra)[:-1]]

    def endless_head(self, line: bytes, total_bytes: int) -> Iterator[bytes]:
        """Return a request whose head repeats a line, or its beginning, without end."""
        yield self._head("", "")[:-2]
        yield from _repeat(line, total_bytes)

    def endless_trailers(
        self, line: bytes, total_bytes: int, first: bytes = b""
    ) -> Iterator[bytes]:
        """Return a small chunked body with trailers that repeat a line without end."""
        yield self.chunked() + b"4\r\nwork\r\n0\r\n" + first
        yield from _repeat(line, total_bytes)

    def endless_chunks(
        self, chunk_bytes: int, body_bytes: int, path: str = ""
    ) -> Iterator[bytes]:
        """Return a chunked body that stops after ``body_bytes`` without its end."""
        yield self.chunked(path)
        chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
        yield from _repeat(chunk, body_bytes // chunk_bytes * len(chunk))

    def pipelined(self, first: bytes, total_bytes: int) -> Iterator[bytes]:
        """Return a request and, in the same write, very many small ones behind it."""
        small = b"GET / HTTP/1.1\r\n\r\n"
        pieces = _repeat(small, total_bytes)
        yield first + next(pieces)
        yield from pieces

    def _head(self, path: str, lines: str) -> bytes:
        return (
            f"POST {path or self._path} HTTP/1.1\r\nHost: {self._host}\r\n"
            f"Monsoonpulley-Request-Id: a1\r\nAuthorization: Bearer {self._key}\r\n"
            f"Monsoonpulley-Deadline-Milliseconds: 20000\r\n{lines}\r\n"
        ).encode()


def in_pieces(data: bytes) -> list[bytes]:
    """Return data in pieces as clients write them."""
    return [data[at : at + PIECE_BYTES] for at in range(0, len(data), PIECE_BYTES)]


def short_lines() -> str:
    """Return as many short header lines, all with other names, as a head may have."""
    room_bytes = MAX_HEAD_BYTES - 1_024
    line_bytes = len("ab:\r\n")
    return "".join(f"{name}:\r\n" for name in SHORT_NAMES[: room_bytes // line_bytes])


def prompt_parts() -> str:
    """Return a header line with as many parts of a prompt as a head may have."""
    parts = ",".join(f"{number:x}:1" for number in range(2_000))
    return f"Monsoonpulley-Prompt-Prefix: {parts}\r\n"


def _repeat(line: bytes, total_bytes: int) -> Iterator[bytes]:
    piece = line * max(1, min(PIECE_BYTES, total_bytes) // len(line))
    for _ in range(max(1, total_bytes // len(piece))):
        yield piece

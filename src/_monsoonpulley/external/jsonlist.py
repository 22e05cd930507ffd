"""Splits a JSON list into its elements, so that each can be decoded by itself."""

from __future__ import annotations

import re

import msgspec

from ..errors import MALFORMED_ERRORS

_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|["\[\]{},]', re.DOTALL)
_decoder = msgspec.json.Decoder(list[msgspec.Raw])


def split_list(data: bytes) -> list[bytes] | None:
    """Return the elements of a JSON list, None if it is none or has no end.

    Elements may be invalid; only brackets and quotes are followed if they are, however
    deeply they are nested.
    """
    try:
        return [bytes(element) for element in _decoder.decode(data)]
    except MALFORMED_ERRORS:
        return _split_by_brackets(data.strip())


def _split_by_brackets(data: bytes) -> list[bytes] | None:
    if not data.startswith(b"["):
        return None
    elements, depth, start = [], 0, 1
    for match in _TOKEN.finditer(data):
        token = match.group()
        if token in b"[{":
            depth += 1
        elif token in b"]}":
            depth -= 1
        elif token == b'"':
            return None  # The text has no end.
        if depth == 0 or (depth == 1 and token == b","):
            elements.append(data[start : match.start()].strip())
            start = match.end()
        if depth == 0:
            is_whole = start == len(data) and token == b"]" and all(elements)
            return elements if is_whole else None
    return None

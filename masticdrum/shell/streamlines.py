"""Splits a stream of chunks into lines of JSON."""

from collections.abc import AsyncIterable, AsyncIterator

MAX_LINE_BYTES = 4 * 1024 * 1024


class LineTooLong(Exception):
    """A stream holds a line longer than ``MAX_LINE_BYTES``."""


async def split_lines(chunks: AsyncIterable[bytes]) -> AsyncIterator[bytes]:
    """Yield each complete line; an unterminated last line is dropped."""
    rest = b""
    async for chunk in chunks:
        *lines, rest = (rest + chunk).split(b"\n")
        if len(rest) > MAX_LINE_BYTES:
            raise LineTooLong(f"a line is longer than {MAX_LINE_BYTES} bytes")
        for line in lines:
            if line:
                yield line

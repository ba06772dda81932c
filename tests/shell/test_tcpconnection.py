"""Connections to addresses that are none."""

import pytest
import trio

from masticdrum.shell import upstreamstream
from masticdrum.shell.tcpconnection import open_tcp_connection

ODD_TARGETS = [
    ("127.0.0.1", 99999),
    ("127.0.0.1", -1),
    ("127.0.0.1", 0),
    ("desk.example", 80),
    ("127.0.0.1\0", 80),
    ("\u00e9", 80),
    ("", 80),
]


async def connect_upstream(host: str, port: int) -> None:
    await upstreamstream.connect(host, port, upstreamstream.MAX_ANSWER_BYTES)


# Guards against a process that ends, or that stands still while it looks a name up, as
# it connects to an address that is none (LOST).
@pytest.mark.parametrize("connect", [open_tcp_connection, connect_upstream])
@pytest.mark.parametrize(("host", "port"), ODD_TARGETS)
def test_an_address_that_is_none_is_an_oserror(
    connect: object, host: str, port: int
) -> None:
    with pytest.raises(OSError, match="is no IPv4 address"):
        trio.run(connect, host, port)

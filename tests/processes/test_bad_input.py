"""Bad input gets an error of the documented list, and the entry keeps working."""

import json
import socket
import string
from collections.abc import Iterator
from typing import Any
from urllib.parse import urlsplit

import h11
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from msgspec import Struct

from demo.caller import call
from demo.processes import wait_until
from demo.system import BOOKING_ROUTE, NORMAL_ROUTE, TOKENS, System
from masticdrum.model.errors import ANSWERS, ErrorKind

TOKEN = TOKENS["olten-depot"]
AUTHORIZED = ("Authorization", f"Bearer {TOKEN}")
TIMEOUT_S = 20.0
WAIT_TIMEOUT_S = 120.0
MAX_BODY = 1024 * 1024  # bytes, the default of an entry's settings
CHUNK = b"10000\r\n" + b" " * 0x10000 + b"\r\n"
RUNS = settings(
    derandomize=True,
    deadline=None,
    max_examples=40,
    database=None,
    phases=[
        Phase.explicit,
        Phase.generate,
    ],  # no shrinking, which may repeat a long wait
)

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=9), inner, max_size=3)
    ),
    max_leaves=5,
)
names = st.text(string.ascii_letters + string.digits + "-._~", min_size=1, max_size=30)


class RawAnswer(Struct):
    """An answer as received: its status and its error object."""

    status: int
    error: dict[str, Any]


def send_raw(
    system: System, request: bytes, chunks: Iterator[bytes] = iter(())
) -> RawAnswer:
    """Send bytes unchanged, then ``chunks`` until an answer arrives; read it."""
    parts = urlsplit(system.entries[0])
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    status, body = 0, b""
    with socket.create_connection((parts.hostname, parts.port), TIMEOUT_S) as peer:
        send_until_answered(peer, request, chunks)
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(receive(peer))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                break
    return RawAnswer(status, json.loads(body)["error"] if body else {})


def send_until_answered(
    peer: socket.socket, request: bytes, chunks: Iterator[bytes]
) -> None:
    """Send a request, then chunks of its body until an answer arrives."""
    peer.sendall(request)
    for chunk in chunks:
        peer.settimeout(0.0)
        try:
            peer.recv(1, socket.MSG_PEEK)
            break
        except BlockingIOError:
            pass
        except ConnectionError:
            break
        finally:
            peer.settimeout(TIMEOUT_S)
        try:
            peer.sendall(chunk)
        except ConnectionError:
            break


def receive(peer: socket.socket) -> bytes:
    """Read what has arrived; a connection reset counts as the end."""
    try:
        return peer.recv(65536)
    except ConnectionError:
        return b""


def make_request(
    target: str, body: bytes, *headers: tuple[str, str], method: str = "POST"
) -> bytes:
    """Make a request with the given headers, also invalid or duplicate ones."""
    lines = [f"{method} {target} HTTP/1.1", "Host: entry"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def make_completion(value: Any) -> bytes:
    """Make an authorized completion request whose body is ``value`` as JSON."""
    return make_request("/v1/completions", json.dumps(value).encode(), AUTHORIZED)


def check_refusal(answer: RawAnswer, kind: ErrorKind, outcome: str = "not_run") -> None:
    """Check that an answer is the refusal ``kind`` and states ``outcome``."""
    assert answer.error.get("kind") == kind, answer
    assert answer.error["outcome"] == outcome
    assert answer.error["message"]
    assert answer.status == ANSWERS[kind].status


def check_entry_healthy(system: System) -> None:
    """Check that all entries run, and the first answers and has no open request."""
    for name in system.plan.entries:
        system.children[name].check()
    wait_until(
        lambda: system.show("entry-1")["open_requests"] == 0,
        "no open request",
        WAIT_TIMEOUT_S,
    )
    body = {"model": NORMAL_ROUTE, "prompt": "well", "max_tokens": 1}
    url = f"{system.entries[0]}/v1/completions"
    answer = call("POST", url, json.dumps(body).encode(), Authorization=AUTHORIZED[1])
    assert answer.status == 200, answer


def test_bytes_that_are_not_json(system: System) -> None:
    @RUNS
    @given(st.binary(max_size=200))
    def check(content: bytes) -> None:
        request = make_request("/v1/completions", b"{" + content, AUTHORIZED)
        check_refusal(send_raw(system, request), ErrorKind.MALFORMED_REQUEST)

    check()
    check_entry_healthy(system)


def test_json_of_wrong_types(system: System) -> None:
    valid = {"model": NORMAL_ROUTE, "prompt": "p", "max_tokens": 1, "stream": False}

    @RUNS
    @given(st.sampled_from(sorted(valid)), json_values)
    def check(name: str, value: Any) -> None:
        if type(value) is type(valid[name]):
            value = [value]
        request = make_completion(valid | {name: value})
        check_refusal(send_raw(system, request), ErrorKind.MALFORMED_REQUEST)

    check()
    for value in ([], "text", None, {}, {"model": NORMAL_ROUTE}):
        answer = send_raw(system, make_completion(value))
        check_refusal(answer, ErrorKind.MALFORMED_REQUEST)
    check_entry_healthy(system)


def test_text_that_is_not_utf_8(system: System) -> None:
    for content in (b"\xff", b"\xc3(", b"\xed\xa0\x80", b"\xf8\x88\x80\x80\x80"):
        body = b'{"model": "%b", "prompt": "%b"}' % (NORMAL_ROUTE.encode(), content)
        request = make_request("/v1/completions", body, AUTHORIZED)
        check_refusal(send_raw(system, request), ErrorKind.MALFORMED_REQUEST)
    surrogate = b'{"model": "%b", "prompt": "\\ud800"}' % NORMAL_ROUTE.encode()
    request = make_request("/v1/completions", surrogate, AUTHORIZED)
    check_refusal(send_raw(system, request), ErrorKind.MALFORMED_REQUEST)
    check_entry_healthy(system)


def test_unknown_routes(system: System) -> None:
    @RUNS
    @given(names)
    def check(name: str) -> None:
        value = {"model": f"no-{name}", "prompt": "p"}
        answer = send_raw(system, make_completion(value))
        check_refusal(answer, ErrorKind.ROUTE_UNKNOWN)
        answer = send_raw(system, make_request(f"/no-{name}", b"{}", AUTHORIZED))
        check_refusal(answer, ErrorKind.ROUTE_UNKNOWN)
        for target in (f"/no-{name}", f"/v1/routes/no-{name}/calls"):
            key = ("Idempotency-Key", "k")
            answer = send_raw(system, make_request(target, b"{}", AUTHORIZED, key))
            # An earlier request with this key may have run.
            check_refusal(answer, ErrorKind.ROUTE_UNKNOWN, "unknown")

    check()
    check_entry_healthy(system)


def test_wrong_credentials(system: System) -> None:
    body = json.dumps({"model": NORMAL_ROUTE, "prompt": "p"}).encode()

    @RUNS
    @given(st.text(string.printable.strip(), max_size=40))
    def check(text: str) -> None:
        for headers in (
            [],
            [("Authorization", text)],
            [("Authorization", f"Bearer {text}")],
        ):
            request = make_request("/v1/completions", body, *headers)
            check_refusal(send_raw(system, request), ErrorKind.UNAUTHENTICATED)

    check()
    check_entry_healthy(system)


def test_duplicate_headers(system: System) -> None:
    key = ("Idempotency-Key", "k")
    # An earlier request with this key may have run.
    cases = [
        ([AUTHORIZED, AUTHORIZED], "not_run"),
        ([AUTHORIZED, key, key], "unknown"),
    ]
    for headers, outcome in cases:
        target = f"/v1/routes/{BOOKING_ROUTE}/calls"
        answer = send_raw(system, make_request(target, b"{}", *headers))
        check_refusal(answer, ErrorKind.MALFORMED_REQUEST, outcome)
    check_entry_healthy(system)


def test_headers_that_are_too_large(system: System) -> None:
    large = ("X-Large", "x" * 20_000)
    answer = send_raw(system, make_request("/v1/completions", b"{}", AUTHORIZED, large))
    check_refusal(answer, ErrorKind.HEADERS_TOO_LARGE)
    check_entry_healthy(system)


def test_bodies_that_are_too_large(system: System) -> None:
    whole = make_request("/v1/completions", b" " * (MAX_BODY + 1), AUTHORIZED)
    check_refusal(send_raw(system, whole), ErrorKind.BODY_TOO_LARGE)
    check_entry_healthy(system)


def test_body_without_end(system: System) -> None:
    head = make_request("/v1/completions", b"", AUTHORIZED)
    head = head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    endless = iter(lambda: CHUNK, b"")
    check_refusal(send_raw(system, head, endless), ErrorKind.BODY_TOO_LARGE)
    check_entry_healthy(system)


def test_body_that_stops(system: System) -> None:
    request = make_request("/v1/completions", b"{}", AUTHORIZED)
    request = request.replace(b"Content-Length: 2", b"Content-Length: 200")
    check_refusal(send_raw(system, request), ErrorKind.MALFORMED_REQUEST)
    check_entry_healthy(system)


def test_prompt_that_is_too_long(system: System) -> None:
    value = {"model": NORMAL_ROUTE, "prompt": "x" * (513 * 1024)}
    answer = send_raw(system, make_completion(value))
    check_refusal(answer, ErrorKind.PROMPT_TOO_LONG)
    check_entry_healthy(system)


def test_bytes_that_are_not_http(system: System) -> None:
    parts = urlsplit(system.entries[0])

    @RUNS
    @given(st.binary(min_size=1, max_size=100))
    def check(content: bytes) -> None:
        with socket.create_connection((parts.hostname, parts.port), TIMEOUT_S) as peer:
            peer.sendall(content + b"\r\n\r\n")
            peer.shutdown(socket.SHUT_WR)
            while receive(peer):
                pass

    check()
    check_entry_healthy(system)


def test_caller_that_stops_reading(system: System) -> None:
    """The answer fills every buffer long before its run would end by itself."""
    parts = urlsplit(system.entries[0])
    for name in system.plan.engines:
        system.control(name, token_s=0.0005)
    value = {"model": NORMAL_ROUTE, "prompt": "p", "max_tokens": 1_000_000}
    with socket.socket() as peer:
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        peer.connect((parts.hostname, parts.port))
        peer.sendall(make_completion(value | {"stream": True}))
        wait_until(
            lambda: system.show("entry-1")["open_requests"] == 1,
            "request open",
            WAIT_TIMEOUT_S,
        )
        wait_until(
            lambda: system.show("entry-1")["open_requests"] == 0,
            "request cancelled",
            WAIT_TIMEOUT_S,
        )
        wait_until(
            lambda: (
                not any(system.show(name)["running"] for name in system.plan.engines)
            ),
            "runs cancelled",
            WAIT_TIMEOUT_S,
        )
    check_entry_healthy(system)

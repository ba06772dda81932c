"""A client for entries, and HTTP calls to the other processes."""

import json
from collections.abc import Callable, Iterator
from time import monotonic
from typing import Any

import httpcore
from msgspec import Struct, field

TIMEOUT_S = 30.0
EVENT = b"data: "
CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class Answer(Struct):
    """The answer to a call; ``connection_error`` says how its connection failed.

    ``error`` is the error object of a refusal or of a failed stream. ``is_complete``
    is set when a stream ended with its end mark.
    """

    status: int = 0
    text: str = ""
    is_complete: bool = False
    usage: dict[str, int] = field(default_factory=dict)
    error: dict[str, Any] = field(default_factory=dict)
    body: Any = None
    headers: dict[str, str] = field(default_factory=dict)
    first_token_s: float = 0.0
    connection_error: str = ""

    @property
    def kind(self) -> str:
        """The error kind, or an empty string."""
        return str(self.error.get("kind", ""))

    @property
    def outcome(self) -> str:
        """Whether a refused or failed request ran, or an empty string."""
        return str(self.error.get("outcome", ""))


def call(
    method: str,
    url: str,
    body: bytes = b"",
    timeout_s: float = TIMEOUT_S,
    **headers: str,
) -> Answer:
    """Make one HTTP call over a new connection."""
    sent_headers = {name.replace("_", "-"): value for name, value in headers.items()}
    extensions = make_timeouts(timeout_s)
    try:
        response = httpcore.request(
            method, url, headers=sent_headers, content=body, extensions=extensions
        )
    except CONNECTION_ERRORS as error:
        return Answer(connection_error=repr(error))
    answer = Answer(response.status, headers=decode_headers(response.headers))
    answer.body = decode_body(response.content)
    if isinstance(answer.body, dict) and isinstance(answer.body.get("error"), dict):
        answer.error = answer.body["error"]
    return answer


def make_timeouts(timeout_s: float) -> dict[str, dict[str, float]]:
    """Make the httpcore extensions that limit each wait of a call."""
    return {"timeout": dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)}


def call_json(method: str, url: str, value: Any = None) -> Any:
    """Make one HTTP call and return its body; raise unless its status is 2xx."""
    body = b"" if value is None else json.dumps(value).encode()
    answer = call(method, url, body)
    if answer.connection_error or answer.status > 299:
        detail = answer.connection_error or f"status {answer.status}: {answer.body}"
        raise RuntimeError(f"{method} {url}: {detail}")
    return answer.body


def call_service(
    entry: str, token: str, route: str, key: str, body: dict[str, Any]
) -> Answer:
    """Call a plain service through an entry, with an Idempotency-Key."""
    return call(
        "POST",
        f"{entry}/v1/routes/{route}/calls",
        json.dumps(body).encode(),
        Authorization=f"Bearer {token}",
        Idempotency_Key=key,
        Content_Type="application/json",
    )


def complete(
    entry: str,
    token: str,
    route: str,
    prompt: str,
    max_tokens: int = 16,
    on_text: Callable[[str], None] = lambda text: None,
) -> Answer:
    """Send a prompt and read its stream; ``on_text`` gets all text after each event."""
    body = {"model": route, "prompt": prompt, "max_tokens": max_tokens}
    headers = {"Authorization": f"Bearer {token}", "Content-Type": "application/json"}
    started_at = monotonic()
    with httpcore.ConnectionPool() as pool:
        try:
            with pool.stream(
                "POST",
                f"{entry}/v1/completions",
                headers=headers,
                content=json.dumps(body | {"stream": True}).encode(),
                extensions=make_timeouts(TIMEOUT_S),
            ) as response:
                return read_stream(response, started_at, on_text)
        except CONNECTION_ERRORS as error:
            return Answer(connection_error=repr(error))


def read_stream(
    response: httpcore.Response, started_at: float, on_text: Callable[[str], None]
) -> Answer:
    """Read a streamed answer until its end, an error or a lost connection."""
    answer = Answer(response.status, headers=decode_headers(response.headers))
    if response.status != 200:
        answer.body = decode_body(response.read())
        answer.error = answer.body.get("error", {})
        return answer
    try:
        for event in read_events(response.iter_stream()):
            apply_event(answer, event, started_at)
            on_text(answer.text)
    except CONNECTION_ERRORS as error:
        answer.connection_error = repr(error)
    return answer


def read_events(chunks: Iterator[bytes]) -> Iterator[bytes]:
    """Yield the data of each server-sent event."""
    remainder = b""
    for chunk in chunks:
        *events, remainder = (remainder + chunk).split(b"\n\n")
        for event in events:
            yield event.removeprefix(EVENT)


def apply_event(answer: Answer, event: bytes, started_at: float) -> None:
    """Add one event to an answer."""
    if event == b"[DONE]":
        answer.is_complete = True
        return
    value = json.loads(event)
    if "error" in value:
        answer.error = value["error"]
        return
    text = value["choices"][0]["text"]
    if text and not answer.text:
        answer.first_token_s = monotonic() - started_at
    answer.text += text
    answer.usage = value.get("usage", answer.usage)


def decode_headers(headers: list[tuple[bytes, bytes]]) -> dict[str, str]:
    """Decode the headers of an answer; names become lower case."""
    return {name.decode().lower(): value.decode() for name, value in headers}


def decode_body(body: bytes) -> Any:
    """Decode a body as JSON, or as text if it is not JSON."""
    try:
        return json.loads(body)
    except ValueError:
        return body.decode(errors="replace")

"""A caller of an entry, and small HTTP calls to anything else."""

import json
from collections.abc import Callable, Iterator
from time import monotonic
from typing import Any

import httpcore
from msgspec import Struct, field

TIMEOUT_S = 30.0
EVENT = b"data: "
BROKEN = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


class Answer(Struct):
    """What a caller got; ``broken`` says how a connection ended before its time.

    ``error`` is the refusal's or the broken stream's error object. ``whole`` tells
    that the stream said so itself.
    """

    status: int = 0
    text: str = ""
    whole: bool = False
    usage: dict[str, int] = field(default_factory=dict)
    error: dict[str, Any] = field(default_factory=dict)
    body: Any = None
    headers: dict[str, str] = field(default_factory=dict)
    first_token_s: float = 0.0
    broken: str = ""

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
    """Make one HTTP call over a connection of its own."""
    lines = {name.replace("_", "-"): value for name, value in headers.items()}
    extensions = make_timeouts(timeout_s)
    try:
        response = httpcore.request(
            method, url, headers=lines, content=body, extensions=extensions
        )
    except BROKEN as error:
        return Answer(broken=repr(error))
    answer = Answer(response.status, headers=decode_headers(response.headers))
    answer.body = decode_body(response.content)
    if isinstance(answer.body, dict) and isinstance(answer.body.get("error"), dict):
        answer.error = answer.body["error"]
    return answer


def make_timeouts(timeout_s: float) -> dict[str, dict[str, float]]:
    """Make the extensions that bound every wait of a call."""
    return {"timeout": dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)}


def call_json(method: str, url: str, value: Any = None) -> Any:
    """Make one HTTP call; give its JSON, raise on any other answer."""
    body = b"" if value is None else json.dumps(value).encode()
    answer = call(method, url, body)
    if answer.broken or answer.status > 299:
        detail = answer.broken or f"status {answer.status}: {answer.body}"
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
    """Send a prompt and read its stream; ``on_text`` gets the text as it grows."""
    body = {"model": route, "prompt": prompt, "max_tokens": max_tokens}
    headers = {"Authorization": f"Bearer {token}", "Content-Type": "application/json"}
    begun = monotonic()
    with httpcore.ConnectionPool() as pool:
        try:
            with pool.stream(
                "POST",
                f"{entry}/v1/completions",
                headers=headers,
                content=json.dumps(body | {"stream": True}).encode(),
                extensions=make_timeouts(TIMEOUT_S),
            ) as response:
                return read_stream(response, begun, on_text)
        except BROKEN as error:
            return Answer(broken=repr(error))


def read_stream(
    response: httpcore.Response, begun: float, on_text: Callable[[str], None]
) -> Answer:
    """Read a streamed answer to its end, whether whole or not."""
    answer = Answer(response.status, headers=decode_headers(response.headers))
    if response.status != 200:
        answer.body = decode_body(response.read())
        answer.error = answer.body.get("error", {})
        return answer
    try:
        for event in read_events(response.iter_stream()):
            take_event(answer, event, begun)
            on_text(answer.text)
    except BROKEN as error:
        answer.broken = repr(error)
    return answer


def read_events(chunks: Iterator[bytes]) -> Iterator[bytes]:
    """Yield the data of each server-sent event."""
    rest = b""
    for chunk in chunks:
        *events, rest = (rest + chunk).split(b"\n\n")
        for event in events:
            yield event.removeprefix(EVENT)


def take_event(answer: Answer, event: bytes, begun: float) -> None:
    """Add one event to an answer."""
    if event == b"[DONE]":
        answer.whole = True
        return
    value = json.loads(event)
    if "error" in value:
        answer.error = value["error"]
        return
    text = value["choices"][0]["text"]
    if text and not answer.text:
        answer.first_token_s = monotonic() - begun
    answer.text += text
    answer.usage = value.get("usage", answer.usage)


def decode_headers(headers: list[tuple[bytes, bytes]]) -> dict[str, str]:
    """Decode an answer's headers, their names in lower case."""
    return {name.decode().lower(): value.decode() for name, value in headers}


def decode_body(body: bytes) -> Any:
    """Decode a body as JSON; give the text where it is none."""
    try:
        return json.loads(body)
    except ValueError:
        return body.decode(errors="replace")

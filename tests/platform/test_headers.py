"""What is read of the platform's headers."""

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from masticdrum.core.decoding import MAX_DIGITS
from masticdrum.core.upstreamchoice import estimate_work
from masticdrum.platform.headers import PlatformHeaderCodec


# Guards against a limit that an upstream names being passed on unread, and against
# values that are no limits.
@pytest.mark.parametrize(
    ("value", "limit"),
    [
        (b"4.9", 4.9),
        (b"0", 0.0),
        (b"12", 12.0),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"many", None),
        (b"", None),
    ],
)
def test_the_limit_of_an_upstream_is_a_decimal_number(
    value: bytes, limit: float | None
) -> None:
    headers = [(b"x-request-id", b"r1"), (b"server-limit", value)]
    read = PlatformHeaderCodec().read_upstream(200, headers)
    assert read.limit_per_s == limit
    assert PlatformHeaderCodec().read_upstream(200, headers[:1]).limit_per_s is None


# Guards against an upstream's word that it leaves being passed on unread (DRAIN).
@pytest.mark.parametrize(
    ("value", "leaving"), [(b"1", True), (b"0", False), (b"", False)]
)
def test_an_upstream_says_in_a_header_that_it_leaves(
    value: bytes, leaving: bool
) -> None:
    headers = [(b"x-request-id", b"r1"), (b"server-leaving", value)]
    assert PlatformHeaderCodec().read_upstream(200, headers).leaving is leaving
    assert not PlatformHeaderCodec().read_upstream(200, headers[:1]).leaving


# Guards against the time in which an upstream wants nothing being passed on unread, and
# against values that are no times (BUDGET).
@pytest.mark.parametrize(
    ("status", "value", "pause_s"),
    [
        (503, b"3", 3.0),
        (503, b"0.25", 0.25),
        (503, b"-1", 0.0),
        (503, b"inf", 0.0),
        (503, b"nan", 0.0),
        (503, b"Fri, 04 Dec 2026 22:00:00 GMT", 0.0),
        (503, b"", 0.0),
        (429, b"3", 0.0),
        (200, b"3", 0.0),
    ],
)
def test_an_upstream_says_for_how_long_it_wants_nothing(
    status: int, value: bytes, pause_s: float
) -> None:
    headers = [(b"x-request-id", b"r1"), (b"retry-after", value)]
    assert PlatformHeaderCodec().read_upstream(status, headers).pause_s == pause_s
    assert PlatformHeaderCodec().read_upstream(status, headers[:1]).pause_s == 0.0


TOO_LARGE = [b"9" * digits for digits in (21, 400, 5000)]


# Guards against a caller whose connection is closed without an answer since a number
# of its request is too large.
@pytest.mark.parametrize("number", [*TOO_LARGE, b"-" + b"9" * 400, b"1e3", b"nan"])
@pytest.mark.parametrize("name", [b"x-deadline-ms", b"last-event-id", b"tokens"])
def test_a_callers_number_that_is_too_large_is_refused(
    name: bytes, number: bytes
) -> None:
    headers = [(b"x-request-id", b"r1"), (name, number)]
    if name == b"tokens":
        usage = (b"x-token-usage", number + b",1")
        headers = [headers[0], (b"x-model", b"m1"), usage]
    assert isinstance(PlatformHeaderCodec().read_caller(headers), Failure)
    parts = (b"x-prefix-hash", b"a:" + number)
    headers = [headers[0], (b"x-model", b"m1"), parts]
    assert isinstance(PlatformHeaderCodec().read_caller(headers), Failure)
    assert isinstance(PlatformHeaderCodec().read_caller(headers[:1]), Success)


# Guards against an entry that ends at an answer whose upstream names its weights with
# too many digits (LOST).
@pytest.mark.parametrize(
    ("value", "weights"),
    [(b"2", 2), (b"", 0), (b"-2", 0), (b"m1", 0), *((n, 0) for n in TOO_LARGE)],
)
def test_the_weights_of_an_answer_are_a_number_or_unknown(
    value: bytes, weights: int
) -> None:
    headers = [(b"x-request-id", b"r1"), (b"x-weight-versions", value)]
    assert PlatformHeaderCodec().read_upstream(200, headers).weights == weights


ODD_NUMBERS = st.one_of(
    st.binary(max_size=30),
    st.text("0123456789+-_. eE", max_size=30).map(str.encode),
    st.integers().map(lambda number: str(number).encode()),
    st.text("\u0661\u0967\uff11\u00b2", max_size=5).map(str.encode),
    st.integers(1, 5000).map(lambda digits: b"9" * digits),
)


# Guards against an entry that one request with a negative number leaves useless for all
# others, and against other texts that Python takes for numbers.
@settings(derandomize=True, max_examples=1000)
@given(ODD_NUMBERS)
@example(b"-1")
@example(b"-99999")
@example(b"1_0")
@example(b"+1")
def test_an_odd_number_of_a_caller_is_refused_or_a_whole_number(value: bytes) -> None:
    is_sound = value.strip().isdigit() and len(value.strip()) <= MAX_DIGITS
    for name, text in (
        (b"x-deadline-ms", value),
        (b"last-event-id", value),
        (b"x-token-usage", value + b",7"),
        (b"x-token-usage", b"7," + value),
        (b"x-prefix-hash", b"a:" + value),
    ):
        headers = [(b"x-request-id", b"r1"), (b"x-model", b"m1"), (name, text)]
        read = PlatformHeaderCodec().read_caller(headers)
        if isinstance(read, Failure):
            assert not is_sound
            continue
        caller = read.unwrap()
        assert estimate_work(caller.prompt) > 0
        numbers = [caller.deadline_s, caller.last_event]
        numbers += [caller.prompt.tokens_in, caller.prompt.tokens_out]
        numbers += [part.tokens for part in caller.prompt.parts]
        assert all(number is None or number >= 0 for number in numbers)


@settings(derandomize=True, max_examples=1000)
@given(ODD_NUMBERS)
@example(b"9" * 400)
def test_an_odd_number_of_an_upstream_is_none_or_a_number(value: bytes) -> None:
    headers = [
        (b"x-request-id", b"r1"),
        (b"x-weight-versions", value),
        (b"keep-alive", b"timeout=" + value),
        (b"server-limit", value),
        (b"retry-after", value),
    ]
    read = PlatformHeaderCodec().read_upstream(503, headers)
    assert 0 <= read.weights < 10**MAX_DIGITS
    assert read.idle_s is None or 0 <= read.idle_s <= 10**MAX_DIGITS
    assert read.limit_per_s is None or 0 <= read.limit_per_s < float("inf")
    assert 0 <= read.pause_s < float("inf")

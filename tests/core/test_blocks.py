"""Block keys differ wherever blocks must not be shared; frames are verified whole."""

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from masticdrum.core.blocks import compute_block_keys
from masticdrum.core.frames import BlockName, FrameFault, decode_frame, encode_frame

SECRET = b"shared by agents"
NAME = BlockName("key-1", "radkranz", "v1")
NAMES = st.text(max_size=6)
PROMPTS = st.text("abc", min_size=8, max_size=40)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.tuples(NAMES, NAMES, NAMES, PROMPTS), st.tuples(NAMES, NAMES, NAMES, PROMPTS))
def test_keys_agree_only_on_equal_workspace_model_version_and_prefix(a, b) -> None:
    ours = compute_block_keys(*a, block_bytes=8)
    theirs = compute_block_keys(*b, block_bytes=8)
    for n, (mine, other) in enumerate(zip(ours, theirs, strict=False), 1):
        same = a[:3] == b[:3] and a[3][: 8 * n] == b[3][: 8 * n]
        assert (mine == other) == same
    assert not set(ours) & set(theirs[len(ours) :])


def test_equal_prompts_in_two_workspaces_share_no_key() -> None:
    prompt = "x" * 80
    ours = compute_block_keys("a", "m", "v1", prompt, 8)
    assert len(ours) == 10
    assert not set(ours) & set(compute_block_keys("b", "m", "v1", prompt, 8))
    assert not set(ours) & set(compute_block_keys("a", "m", "v2", prompt, 8))


def test_a_part_of_a_block_has_no_key() -> None:
    assert compute_block_keys("a", "m", "v1", "x" * 7, 8) == ()


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.binary(max_size=200))
def test_frame_gives_its_payload_back(payload) -> None:
    frame = encode_frame(SECRET, NAME, payload)
    assert decode_frame(SECRET, NAME, frame) == Success(payload)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(min_size=1, max_size=60), st.data())
def test_truncated_frame_is_refused(payload, data) -> None:
    frame = encode_frame(SECRET, NAME, payload)
    length = data.draw(st.integers(0, len(frame) - 1))
    assert isinstance(decode_frame(SECRET, NAME, frame[:length]), Failure)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(min_size=1, max_size=60), st.data())
def test_bit_flipped_frame_is_refused(payload, data) -> None:
    frame = bytearray(encode_frame(SECRET, NAME, payload))
    place = data.draw(st.integers(0, len(frame) - 1))
    frame[place] ^= 1 << data.draw(st.integers(0, 7))
    assert isinstance(decode_frame(SECRET, NAME, bytes(frame)), Failure)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.binary(max_size=300))
def test_arbitrary_octets_are_refused(octets) -> None:
    assert isinstance(decode_frame(SECRET, NAME, octets), Failure)


def test_substituted_blocks_are_refused_by_what_differs() -> None:
    for other, fault in [
        (BlockName("key-2", "radkranz", "v1"), FrameFault.WRONG_KEY),
        (BlockName("key-1", "gebeya", "v1"), FrameFault.WRONG_WORKSPACE),
        (BlockName("key-1", "radkranz", "v2"), FrameFault.WRONG_VERSION),
    ]:
        frame = encode_frame(SECRET, other, b"payload")
        assert decode_frame(SECRET, NAME, frame) == Failure(fault)


def test_forged_header_is_refused() -> None:
    forged = encode_frame(b"the store's guess", NAME, b"another workspace's")
    assert decode_frame(SECRET, NAME, forged) == Failure(FrameFault.WRONG_CHECKSUM)

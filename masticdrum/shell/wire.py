"""Encodes envelopes as msgpack and decodes them."""

import msgspec

from masticdrum.core.decoding import Undecodable, read_msgpack
from masticdrum.model.messages import Envelope

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the envelope as msgpack."""
    return _ENCODER.encode(envelope)


def decode_envelope(data: bytes) -> Envelope | None:
    """Return the envelope, or None for bytes that are not one."""
    try:
        return read_msgpack(data, _DECODER)
    except Undecodable:
        return None

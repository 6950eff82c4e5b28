"""MessagePack encoding of typed messages."""

from typing import Any, TypeVar

import msgspec

from reachlink.messaging.exceptions import CallFailedError

T = TypeVar("T")

_encoder = msgspec.msgpack.Encoder()
_decoders: dict[Any, Any] = {}


def encode(message: Any) -> bytes:
    """Return a message encoded as MessagePack."""
    return _encoder.encode(message)


def decode(data: bytes, model: type[T]) -> T:
    """Decode `data` as a message of type `model`, a class or a union.

    Raises
    ------
    CallFailedError
        If `data` is not a message of this type.
    """
    decoder = _decoders.get(model)
    if decoder is None:
        decoder = _decoders[model] = msgspec.msgpack.Decoder(model)
    try:
        result: T = decoder.decode(data)
    except msgspec.DecodeError as error:
        raise CallFailedError(f"unreadable message: {error}") from error
    return result

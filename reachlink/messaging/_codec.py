"""MessagePack encoding of typed messages."""

from typing import Any, TypeVar

import msgspec

from reachlink.messaging.exceptions import CallFailedError

T = TypeVar("T")

_encoder = msgspec.msgpack.Encoder()
_decoders: dict[Any, Any] = {}


def encode(message: Any) -> bytes:
    """Return a message in MessagePack."""
    return _encoder.encode(message)


def decode(data: bytes, model: type[T]) -> T:
    """Return the message of type `model` (a class or a union) in `data`.

    Raises
    ------
    CallFailedError
        If the bytes hold something else.
    """
    decoder = _decoders.get(model)
    if decoder is None:
        decoder = _decoders[model] = msgspec.msgpack.Decoder(model)
    try:
        result: T = decoder.decode(data)
    except msgspec.DecodeError as error:
        raise CallFailedError(f"unreadable message: {error}") from error
    return result

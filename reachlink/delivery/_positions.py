"""Event ids given to callers: self-describing, authenticated positions in an answer.

An id is ``<claim>.<mac>.<offset>``. The claim names the request, the
generation and where it runs; its authentication code is computed once an
answer. The offset stands outside: a caller who alters it only asks for
another part of its own answer.
"""

import base64
import binascii
import hmac
from dataclasses import dataclass

import msgspec

from reachlink.delivery.exceptions import InvalidPositionError

_MAC_BYTES = 12
_MAX_ID_CHARACTERS = 1024


class _Claim(msgspec.Struct, array_like=True):
    service: str
    workspace: str
    replica: str
    generation: str
    request_id: str


@dataclass(slots=True, frozen=True)
class Position:
    """A place in one generation's stream.

    Attributes
    ----------
    service, workspace : str
        Where the request belongs.
    replica : str
        Upstream instance that holds the generation.
    generation, request_id : str
        Identifiers at the engine and here.
    offset : int
        Offset of the last event that the caller has.
    """

    service: str
    workspace: str
    replica: str
    generation: str
    request_id: str
    offset: int


class PositionCodec:
    """Makes and reads event ids.

    Parameters
    ----------
    secret : bytes
        Key shared by all entry instances.
    """

    def __init__(self, secret: bytes) -> None:
        self._secret = secret

    def prefix(self, position: Position) -> str:
        """Return the part of the id that all events of an answer share."""
        claim = _Claim(
            position.service,
            position.workspace,
            position.replica,
            position.generation,
            position.request_id,
        )
        payload = _to_text(msgspec.msgpack.encode(claim))
        return f"{payload}.{self._mac(payload)}"

    def encode(self, position: Position) -> str:
        """Return the whole event id."""
        return f"{self.prefix(position)}.{position.offset}"

    def decode(self, text: str) -> Position:
        """Read an event id.

        Raises
        ------
        InvalidPositionError
            If it is malformed or was not made with this secret.
        """
        if len(text) > _MAX_ID_CHARACTERS or not text.isascii():
            raise InvalidPositionError("malformed event id")
        payload, _, rest = text.partition(".")
        mac, _, offset = rest.partition(".")
        if not hmac.compare_digest(mac, self._mac(payload)):
            raise InvalidPositionError("event id was not issued here")
        if not (offset.isdecimal() and len(offset) < 10):
            raise InvalidPositionError("malformed offset in event id")
        claim = _read_claim(payload)
        return Position(
            claim.service,
            claim.workspace,
            claim.replica,
            claim.generation,
            claim.request_id,
            int(offset),
        )

    def _mac(self, payload: str) -> str:
        return _to_text(hmac.digest(self._secret, payload.encode(), "sha256")[:_MAC_BYTES])


def _to_text(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).rstrip(b"=").decode()


def _read_claim(payload: str) -> _Claim:
    try:
        raw = base64.urlsafe_b64decode(payload + "=" * (-len(payload) % 4))
        return msgspec.msgpack.decode(raw, type=_Claim)
    except (binascii.Error, msgspec.DecodeError) as error:
        raise InvalidPositionError("malformed event id") from error

"""Event ids for callers: self-contained, authenticated positions in an answer.

An id has the form ``<claim>.<mac>.<offset>``. The claim names the request, the generation
and the replica that runs it. The message authentication code (MAC) covers the claim only
and is computed once per answer. The offset needs no authentication: a caller that changes
it only requests another part of its own answer.
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
    """A position in the event stream of a generation.

    Attributes
    ----------
    service, workspace : str
        Service and workspace of the request.
    replica : str
        Name of the upstream instance that runs the generation.
    generation, request_id : str
        Id of the generation at the engine and id of the request in this system.
    offset : int
        Offset of the last event that the caller received.
    """

    service: str
    workspace: str
    replica: str
    generation: str
    request_id: str
    offset: int


class PositionCodec:
    """Encodes and decodes event ids.

    Parameters
    ----------
    secret : bytes
        Key shared by all entry instances.
    """

    def __init__(self, secret: bytes) -> None:
        self._secret = secret

    def prefix(self, position: Position) -> str:
        """Return the part of the event id that is the same for all events of an answer."""
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
        """Return the complete event id."""
        return f"{self.prefix(position)}.{position.offset}"

    def decode(self, text: str) -> Position:
        """Decode an event id.

        Raises
        ------
        InvalidPositionError
            If the id is malformed or was not encoded with this secret.
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

"""Features by which requests are recognized that share something; does no I/O."""

from dataclasses import dataclass

# Odd multiplier of 64 bits (the golden ratio), which spreads the digests of pairs.
_PAIR_MULTIPLIER = 0x9E3779B97F4A7C15
_DIGEST_MASK = (1 << 64) - 1


@dataclass(slots=True, frozen=True)
class RequestFeatures:
    """Digests of a request and of what it shares with other requests.

    Attributes
    ----------
    fingerprint : int
        Digest of the whole request, equal for requests that differ only in their
        identifiers; 0 if there is none.
    parts : tuple of int
        Digests of the parts of its prompt, in order.
    model : int
        Digest of the model that it asks for; 0 if there is none.
    """

    fingerprint: int = 0
    parts: tuple[int, ...] = ()
    model: int = 0

    def digests(self) -> tuple[int, ...]:
        """Return all digests, starting with the fingerprint."""
        whole = (self.fingerprint,) if self.fingerprint else ()
        return whole + self.shared_digests()

    def shared_digests(self) -> tuple[int, ...]:
        """Return the digests of the parts.

        Each part occurs twice, alone and with the model: it may crash replicas of one model
        and be harmless at those of another.
        """
        parts = tuple(dict.fromkeys(self.parts))
        with_model = tuple(_pair(part, self.model) for part in parts) if self.model else ()
        return parts + with_model


def _pair(part: int, model: int) -> int:
    return (part * _PAIR_MULTIPLIER + model) & _DIGEST_MASK

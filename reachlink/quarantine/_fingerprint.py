"""Fingerprints that identify repeated requests at all instances; does no I/O."""

import hashlib
from collections.abc import Sequence

from reachlink.upstreams import GenerationFacts, RequestFeatures

# Length of a fingerprint in bytes. With 64 bits, the probability that any two of a million
# concurrent requests have the same fingerprint is 1 in 37 million (birthday bound).
DIGEST_BYTES = 8
# Maximum key length of BLAKE2b, in bytes (RFC 7693).
MAX_KEY_BYTES = 64
# Maximum number of prompt parts kept of a request. Of longer prompts, the first and the last parts
# are kept: the former are shared most, and each part of a conversation was once among the latter.
MAX_PARTS = 16
# Kinds of digests, so that a part and a model of the same name differ.
_PART = b"part"
_MODEL = b"model"


class Fingerprinter:
    """Computes fingerprints that are equal at all instances of a cluster.

    A request has the same fingerprint when it arrives again with another request id at
    another instance: the fingerprint depends on the workspace, the method, the target and
    the body. The digest is keyed, so that outsiders cannot construct collisions, and no
    part of the body is kept.

    Parameters
    ----------
    secret : bytes
        Shared secret of the cluster; empty if the network admits only trusted hosts.

    Examples
    --------
    >>> maker = Fingerprinter(b"secret")
    >>> one = maker.fingerprint("w1", "POST", "a.example/chat/1", b"hello")
    >>> one == maker.fingerprint("w1", "POST", "a.example/chat/1", b"hello")
    True
    >>> one == maker.fingerprint("w2", "POST", "a.example/chat/1", b"hello")
    False
    """

    def __init__(self, secret: bytes) -> None:
        self._key = secret[:MAX_KEY_BYTES]

    def fingerprint(self, workspace: str, method: str, target: str, body: bytes) -> int:
        """Return the fingerprint of a request.

        Parameters
        ----------
        workspace : str
            Workspace of the request; empty if there is none.
        method, target : str
            HTTP method, and host and path with query.
        body : bytes
            Complete body.
        """
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES, key=self._key)
        for text in (workspace, method, target):
            # The length prefix keeps different sequences of parts from being hashed alike.
            raw = text.encode()
            digest.update(len(raw).to_bytes(4, "big"))
            digest.update(raw)
        digest.update(body)
        return int.from_bytes(digest.digest(), "big")

    def features(self, fingerprint: int, model: str, parts: Sequence[str]) -> RequestFeatures:
        """Return the features of a request.

        Parameters
        ----------
        fingerprint : int
            Fingerprint of the request.
        model : str
            Name of the model; empty if there is none.
        parts : sequence of str
            Parts of the prompt in order, as names or as texts.
        """
        half = MAX_PARTS // 2
        kept = parts if len(parts) <= MAX_PARTS else [*parts[:half], *parts[-half:]]
        part_digests = tuple(self._digest(_PART, part) for part in kept)
        model_digest = self._digest(_MODEL, model) if model else 0
        return RequestFeatures(fingerprint, part_digests, model_digest)

    def relayed(
        self, workspace: str, method: str, target: str, body: bytes, facts: GenerationFacts | None
    ) -> RequestFeatures:
        """Return the features of a request that is relayed; `facts` is None for plain services."""
        fingerprint = self.fingerprint(workspace, method, target, body)
        if facts is None:
            return RequestFeatures(fingerprint)
        return self.features(fingerprint, facts.model, [part.key for part in facts.parts])

    def _digest(self, kind: bytes, text: str) -> int:
        raw = text.encode()
        digest = hashlib.blake2b(raw, digest_size=DIGEST_BYTES, key=self._key, person=kind)
        return int.from_bytes(digest.digest(), "big")


def fingerprint_of(text: str) -> int:
    """Parse a fingerprint from its hexadecimal form.

    Raises
    ------
    ValueError
        If the text is not a fingerprint.
    """
    if len(text) != 2 * DIGEST_BYTES:
        raise ValueError(f"a fingerprint has {2 * DIGEST_BYTES} hexadecimal digits")
    return int(text, 16)


def fingerprint_text(fingerprint: int) -> str:
    """Return the hexadecimal form of a fingerprint for operators and logs.

    Examples
    --------
    >>> fingerprint_text(255)
    '00000000000000ff'
    """
    return f"{fingerprint:016x}"


def fingerprint_list(fingerprints: Sequence[int]) -> str:
    """Return fingerprints in hexadecimal form, separated by commas."""
    return ",".join(fingerprint_text(fingerprint) for fingerprint in fingerprints)

"""Framing of the bytes that a peer relays from a replica; pure.

A body without a length ends with its connection. Whether the replica has ended the connection
or the peer was lost must be told apart, so that a cut body does not look complete.
"""

import struct

_HEADER = struct.Struct("!I")
# Frame without payload: the replica has closed its connection properly.
END = _HEADER.pack(0)


def frame_header(payload: bytes) -> bytes:
    """Return the header of a frame with a payload of at least one byte."""
    return _HEADER.pack(len(payload))


class FrameDecoder:
    """Splits received bytes into the payloads of frames.

    Examples
    --------
    >>> decoder = FrameDecoder()
    >>> decoder.feed(frame_header(b"abc") + b"ab"), decoder.ended
    ([b'ab'], False)
    >>> decoder.feed(b"c" + END), decoder.ended
    ([b'c'], True)
    """

    def __init__(self) -> None:
        self._header = b""
        self._left = 0
        self._ended = False

    @property
    def ended(self) -> bool:
        """Whether the replica has closed its connection properly."""
        return self._ended

    def feed(self, data: bytes) -> list[bytes]:
        """Return the payload bytes in received data; parts of a frame are returned at once."""
        found: list[bytes] = []
        view = memoryview(data)
        while view and not self._ended:
            if self._left:
                part = view[: self._left]
                found.append(bytes(part))
                self._left -= len(part)
                view = view[len(part) :]
                continue
            missing = _HEADER.size - len(self._header)
            self._header += bytes(view[:missing])
            view = view[missing:]
            if len(self._header) == _HEADER.size:
                (self._left,) = _HEADER.unpack(self._header)
                self._header = b""
                self._ended = self._left == 0
        return found

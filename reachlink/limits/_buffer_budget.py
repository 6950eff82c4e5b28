"""Accounts for the bytes that an instance buffers for callers, against one budget; pure.

The budget protects against many callers that send long bodies at once or slowly, callers that
do not read their answers, and replicas that do not read their requests. The buffers of each
caller are bounded, and short bodies are still admitted while long ones are refused.
"""

from collections.abc import Callable
from enum import Enum

# High and low watermarks, as shares of the budget. Once the high watermark is reached, no long
# body is admitted until usage falls to the low one. Buffering of answers ahead of their callers
# stops above the low watermark, so that callers that do not read cause no refusals.
HIGH_WATERMARK_SHARE = 0.75
LOW_WATERMARK_SHARE = 0.6
# Share of the budget that may be buffered for one caller.
CALLER_SHARE = 1 / 3
# Share of the budget that one incoming answer may occupy ahead of its caller.
ANSWER_BUFFER_SHARE = 1 / 16
# Largest size in bytes of a short body. The part of the budget above the high watermark is
# reserved for short bodies and complete answers.
MAX_SHORT_BYTES = 16 << 10
# Size in bytes assumed for a body of undeclared length before it arrives, so that it counts as
# long.
UNDECLARED_BYTES = MAX_SHORT_BYTES + 1


class BufferKind(Enum):
    """What buffered bytes belong to."""

    INCOMING = "incoming"  # bodies being received
    REQUEST = "request"  # bodies of requests that are queued or running
    ANSWER = "answer"  # answers that their callers have not read yet


class BufferBudget:
    """Budget of one instance for buffered bodies and answers.

    Parameters
    ----------
    limit : int
        Maximum number of buffered bytes; 0 for no limit, in which case nothing is counted.
    caller_share : float
        Share of the budget that may be buffered for one caller.

    Attributes
    ----------
    make_room : callable
        Called with the buffer of a caller for which there is no room; releases bytes of
        another one that is of less use, if there is any, and returns whether it did.
    """

    def __init__(self, limit: int = 0, caller_share: float = CALLER_SHARE) -> None:
        self._limit = limit
        self._caller_share = caller_share
        self._high_watermark = int(limit * HIGH_WATERMARK_SHARE)
        self._low_watermark = int(limit * LOW_WATERMARK_SHARE)
        self._bytes_by_kind = dict.fromkeys(BufferKind, 0)
        self._total = 0
        self._under_pressure = False
        # Called with True when the high watermark is reached, and with False when usage falls to
        # the low one again.
        self.on_pressure_change: Callable[[bool], None] = lambda under_pressure: None
        self.make_room: Callable[[CallerBuffer], bool] = lambda asking: False

    @property
    def limited(self) -> bool:
        """Whether there is a limit."""
        return self._limit > 0

    @property
    def limit(self) -> int:
        """Maximum number of buffered bytes; 0 for no limit."""
        return self._limit

    @property
    def total(self) -> int:
        """Bytes buffered now."""
        return self._total

    @property
    def under_pressure(self) -> bool:
        """Whether long bodies are refused, until usage falls to the low watermark."""
        return self._under_pressure

    @property
    def may_buffer_answers(self) -> bool:
        """Whether incoming answers may be buffered ahead of their callers."""
        return self._total <= self._low_watermark

    @property
    def caller_bytes(self) -> int:
        """Maximum number of bytes buffered for one caller."""
        return int(self._limit * self._caller_share)

    @property
    def answer_buffer_bytes(self) -> int:
        """Maximum number of bytes that one incoming answer may be ahead of its caller."""
        return int(self._limit * ANSWER_BUFFER_SHARE)

    def bytes_of(self, kind: BufferKind) -> int:
        """Return the bytes of one kind buffered now."""
        return self._bytes_by_kind[kind]

    def admits(self, size: int) -> bool:
        """Return whether a body may be received.

        Parameters
        ----------
        size : int
            Size of the body in bytes as declared by the sender; `UNDECLARED_BYTES` if undeclared.
        """
        if not self._limit:
            return True
        if size <= MAX_SHORT_BYTES:
            return self._total + size <= self._limit
        if self._under_pressure or size > self.caller_bytes:
            return False
        return self._total + size <= self._high_watermark

    def has_room(self, size: int, long: bool) -> bool:
        """Return whether `size` more bytes may be buffered, for a long body or otherwise."""
        return self._total + size <= (self._high_watermark if long else self._limit)

    def adjust(self, kind: BufferKind, size: int) -> None:
        """Add `size` bytes to the bytes buffered; a negative number releases bytes."""
        self._bytes_by_kind[kind] += size
        self._total += size
        under_pressure = self._total >= self._high_watermark or (
            self._under_pressure and self._total > self._low_watermark
        )
        if under_pressure != self._under_pressure:
            self._under_pressure = under_pressure
            self.on_pressure_change(under_pressure)

    def reclassify(self, kind: BufferKind, target: BufferKind, size: int) -> None:
        """Move `size` bytes from one kind to another; the total does not change."""
        self._bytes_by_kind[kind] -= size
        self._bytes_by_kind[target] += size


class CallerBuffer:
    """Bytes buffered for one caller.

    Parameters
    ----------
    budget : BufferBudget
        Budget of the instance.
    """

    __slots__ = ("_budget", "_bytes_by_kind")

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self._bytes_by_kind = dict.fromkeys(BufferKind, 0)

    @property
    def limited(self) -> bool:
        """Whether the budget has a limit."""
        return self._budget.limited

    @property
    def total(self) -> int:
        """Bytes buffered for this caller now."""
        return sum(self._bytes_by_kind.values())

    def bytes_of(self, kind: BufferKind) -> int:
        """Return the bytes of one kind buffered for this caller now."""
        return self._bytes_by_kind[kind]

    def admits(self, size: int) -> bool:
        """Return whether a body may be received; see `BufferBudget.admits`.

        Bodies of other callers that are of less use give way to it.
        """
        if size > MAX_SHORT_BYTES and not self.fits_caller_limit(size):
            return False
        while not self._budget.admits(size):
            if not self._budget.make_room(self):
                return False
        return True

    def fits_caller_limit(self, size: int) -> bool:
        """Return whether `size` more bytes would stay within the limit of one caller."""
        return not self.limited or self.total + size <= self._budget.caller_bytes

    def reserve(self, kind: BufferKind, size: int) -> bool:
        """Reserve bytes if there is room; return whether there was.

        Parameters
        ----------
        kind : BufferKind
            What the bytes belong to.
        size : int
            Number of bytes.
        """
        if not self.limited:
            return True
        if not self.fits_caller_limit(size):
            return False
        long = kind is not BufferKind.ANSWER and self._bytes_by_kind[kind] + size > MAX_SHORT_BYTES
        while not self._budget.has_room(size, long):
            if not self._budget.make_room(self):
                return False
        self._adjust(kind, size)
        return True

    def set_size(self, kind: BufferKind, size: int) -> bool:
        """Set the number of bytes buffered of one kind; return whether more may be buffered.

        For answers buffered ahead of their callers, whose bytes are already in memory whether
        or not there is room for them.

        Parameters
        ----------
        kind : BufferKind
            What the bytes belong to.
        size : int
            Total number of bytes of this kind.
        """
        if not self.limited:
            return True
        self._adjust(kind, size - self._bytes_by_kind[kind])
        return self._budget.may_buffer_answers and self.fits_caller_limit(0)

    def reclassify(self, kind: BufferKind, target: BufferKind) -> None:
        """Move all bytes of one kind to another kind."""
        size = self._bytes_by_kind[kind]
        self._bytes_by_kind[kind] -= size
        self._bytes_by_kind[target] += size
        self._budget.reclassify(kind, target, size)

    def release(self) -> None:
        """Release all bytes buffered for this caller."""
        for kind, size in self._bytes_by_kind.items():
            self._adjust(kind, -size)

    def _adjust(self, kind: BufferKind, size: int) -> None:
        if size:
            self._bytes_by_kind[kind] += size
            self._budget.adjust(kind, size)

"""What replicas ask of those who send to them: when to stop, and how much to send."""

from reachlink.pacing._limits import LimitBook, read_limit

__all__ = ["LimitBook", "read_limit"]

"""Errors of the servers that accept requests."""

from reachlink.kernel import ReachlinkError


class IngressError(ReachlinkError):
    """Base class of the errors of this layer."""


class BodyTooLargeError(IngressError):
    """A body is larger than its sender may send.

    Parameters
    ----------
    max_bytes : int
        Size of the largest body that is taken, in bytes.
    """

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"the body is larger than {max_bytes} bytes")


class BodyTooSlowError(IngressError):
    """A body comes too slowly."""

    def __init__(self) -> None:
        super().__init__("the body came too slowly")


class BodyOverBudgetError(IngressError):
    """There is no room for a body, or no longer.

    Parameters
    ----------
    size : int
        Size of the body in bytes, so far or as declared.
    """

    def __init__(self, size: int) -> None:
        super().__init__(f"there is no room for a body of {size} bytes")
        self.size = size

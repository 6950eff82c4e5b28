"""Messages about crashes between entry instances; does no I/O.

The structs are sent as arrays: the order of their fields is part of the format, and new
fields are appended with a default value.
"""

import msgspec

CHANNEL_QUARANTINE = "quarantine"
"""Call: a `QuarantineNote` with all the sender knows; the reply is the same for the receiver."""
CHANNEL_RELEASE = "release"
"""Call: a `ReleaseOrder`; the reply is whether the request was held."""


class ReleaseOrder(msgspec.Struct, array_like=True, frozen=True):
    """Order of an operator to release what a verdict holds, by its fingerprint."""

    fingerprint: int


class CrashNote(msgspec.Struct, array_like=True, frozen=True):
    """Report that a replica crashed while a request was there.

    Attributes
    ----------
    note_id : int
        Random id that identifies duplicates, whichever instance the note comes from.
    fingerprint : int
        Fingerprint of the request; 0 if it has none.
    replica : str
        Name of the replica.
    ran_s : float
        Time from the sending of the request to the crash, in seconds.
    age_s : float
        Time from the crash to the sending of the note, in seconds; an age, since the
        clocks of instances are not comparable.
    late : bool
        Whether the answer had been arriving for longer than `EARLY_CRASH_S`.
    parts : tuple of int
        Digests of the parts of the prompt, in order.
    model : int
        Digest of the model; 0 if there is none.
    trusted : int
        Bit n is set if shared digest n of the features had a sound answer not long before.
    """

    note_id: int
    fingerprint: int
    replica: str
    ran_s: float
    age_s: float
    late: bool
    parts: tuple[int, ...] = ()
    model: int = 0
    trusted: int = 0


class ClearanceNote(msgspec.Struct, array_like=True, frozen=True):
    """Report that a request got a sound answer, or that an operator released what was held.

    The crashes known against the digests of the request no longer count against these. They
    are listed by id: if they were selected by time, a crash note that arrives late would count
    at some instances and not at others.

    Attributes
    ----------
    note_id : int
        Random id that identifies duplicates, whichever instance the note comes from.
    age_s : float
        Time from the clearance to the sending of the note, in seconds.
    void : tuple of int
        Ids of the crash notes that no longer count.
    digests : tuple of int
        Digests against which they no longer count; empty for all.
    """

    note_id: int
    age_s: float
    void: tuple[int, ...]
    digests: tuple[int, ...] = ()


class QuarantineNote(msgspec.Struct, array_like=True, frozen=True):
    """Message from one instance to another.

    Attributes
    ----------
    digest : int
        Digest of all notes that the sender knows; equal at instances with equal notes.
    crashes : list of CrashNote
        Crashes to report.
    clearances : list of ClearanceNote
        Clearances to report.
    """

    digest: int = 0
    crashes: list[CrashNote] = []
    clearances: list[ClearanceNote] = []

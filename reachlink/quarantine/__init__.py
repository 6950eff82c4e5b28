"""Quarantine of requests that crash replicas.

A request, or one part of its prompt that others share, may crash every replica that starts
to process it, and may arrive again with another request id at any instance. `Fingerprinter`
identifies repeated requests and parts, `CrashGuard` detects connections that ended because
their replica crashed, `Quarantine` keeps the crashes that all instances found and the sound
answers that speak against them, and `judge` selects what to blame among the requests that
were at the crashed replicas.
"""

from reachlink.quarantine._answer_timing import AnswerTiming
from reachlink.quarantine._crash_watch import BrokenRun, CrashWatch, Probe
from reachlink.quarantine._fingerprint import (
    Fingerprinter,
    fingerprint_of,
    fingerprint_text,
)
from reachlink.quarantine._guard import CrashGuard
from reachlink.quarantine._judging import (
    CRASHES_TO_HOLD,
    EARLY_CRASH_S,
    LATE_WEIGHT,
    Crash,
    Involvement,
    Verdict,
    crashes_of,
    judge,
)
from reachlink.quarantine._notes import (
    CHANNEL_QUARANTINE,
    CHANNEL_RELEASE,
    ClearanceNote,
    CrashNote,
    QuarantineNote,
    ReleaseOrder,
)
from reachlink.quarantine._quarantine import CRASH_RETENTION_S, MAX_KEPT, NOTE_REPEAT_S, Quarantine
from reachlink.quarantine.exceptions import HELD, HeldRequestError, QuarantineError

__all__ = [
    "CHANNEL_QUARANTINE",
    "CHANNEL_RELEASE",
    "CRASHES_TO_HOLD",
    "HELD",
    "CRASH_RETENTION_S",
    "EARLY_CRASH_S",
    "LATE_WEIGHT",
    "MAX_KEPT",
    "NOTE_REPEAT_S",
    "AnswerTiming",
    "BrokenRun",
    "ClearanceNote",
    "Crash",
    "CrashGuard",
    "CrashNote",
    "CrashWatch",
    "Fingerprinter",
    "HeldRequestError",
    "Involvement",
    "Quarantine",
    "QuarantineError",
    "QuarantineNote",
    "ReleaseOrder",
    "Probe",
    "Verdict",
    "crashes_of",
    "fingerprint_of",
    "fingerprint_text",
    "judge",
]

"""Request lifecycle, independent of the protocols: placement, dispatch, relaying the answer."""

from reachlink.requests._attempts import AttemptFailure, AttemptLog
from reachlink.requests._book import Flight, ReplicaBook, ReplicaState
from reachlink.requests._cold_rates import Deciders
from reachlink.requests._departures import NOTICE_S, Departures
from reachlink.requests._load_notes import (
    ListedReplica,
    LoadNote,
    MemoryNote,
    ReplicaNews,
    ReplicaOutcome,
    ReplicaShare,
    shortened,
    total,
)
from reachlink.requests._model import AnswerSink, CallerRequest
from reachlink.requests._parts import Directory, RetryLimits, RunnerParts
from reachlink.requests._place_question import PlaceAnswer, PlaceQuestion, Purpose
from reachlink.requests._placing import Placing
from reachlink.requests._runner import RequestRunner
from reachlink.requests._shared_load import SharedLoad
from reachlink.requests.exceptions import RequestFailedError, RequestsError, StreamCutError

__all__ = [
    "AnswerSink",
    "AttemptLog",
    "CallerRequest",
    "Deciders",
    "Departures",
    "Directory",
    "Flight",
    "ListedReplica",
    "LoadNote",
    "MemoryNote",
    "NOTICE_S",
    "PlaceAnswer",
    "PlaceQuestion",
    "Placing",
    "Purpose",
    "ReplicaBook",
    "ReplicaNews",
    "ReplicaOutcome",
    "ReplicaShare",
    "ReplicaState",
    "RetryLimits",
    "RequestFailedError",
    "RequestRunner",
    "RequestsError",
    "RunnerParts",
    "AttemptFailure",
    "SharedLoad",
    "StreamCutError",
    "shortened",
    "total",
]

"""State of one replica of the log, and what a step asks of its shell."""

from dataclasses import dataclass, field
from enum import Enum
from random import Random

from reachlink.agreement._log import Log
from reachlink.agreement._messages import Entry, Member, Message, SnapshotRequest


class Role(Enum):
    """Role in the present term."""

    FOLLOWER = "follower"
    TRIAL = "trial"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True, frozen=True)
class Timing:
    """Durations in seconds.

    Attributes
    ----------
    heartbeat_s : float
        Interval of heartbeats.
    election_min_s, election_max_s : float
        Range of the random election time-out.
    first_election_min_s, first_election_max_s : float
        Range of the wait before a replica that has just started stands: some
        round trips, and enough apart that seldom two stand at once.
    drift : float
        Bound on how much faster one clock may run than another, as a share.
    """

    heartbeat_s: float = 0.15
    election_min_s: float = 0.6
    election_max_s: float = 1.0
    first_election_min_s: float = 0.02
    first_election_max_s: float = 0.2
    drift: float = 0.1


@dataclass(slots=True)
class Progress:
    """What a leader knows of one follower."""

    next_index: int
    match_index: int = 0
    acked_sent_at: float = float("-inf")
    heard_at: float = float("-inf")
    snapshot_sent_at: float = float("-inf")


@dataclass(slots=True)
class Effects:
    """What one or more steps ask of the shell, in this order of execution.

    Everything from `hard_state` to `append` must be on disk before any of
    `messages` leaves and before `committed` is applied.
    """

    hard_state: bool = False
    install: SnapshotRequest | None = None
    cut_from: int | None = None
    append: list[Entry] = field(default_factory=list)
    messages: list[tuple[str, Message]] = field(default_factory=list)
    snapshot_to: list[str] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)

    def must_sync(self) -> bool:
        """Return whether something must reach the disk."""
        return bool(self.hard_state or self.install or self.cut_from or self.append)


@dataclass(slots=True)
class ReplicaState:
    """Everything one replica knows.

    `term`, `voted_for` and the log outlive the process; the rest does not.
    """

    node_id: str
    timing: Timing
    random: Random
    log: Log = field(default_factory=Log)
    term: int = 0
    voted_for: str = ""
    role: Role = Role.FOLLOWER
    leader: str = ""
    commit: int = 0
    members: list[Member] = field(default_factory=list)
    members_index: int = 0
    votes: set[str] = field(default_factory=set)
    progress: dict[str, Progress] = field(default_factory=dict)
    heard_leader_at: float = float("-inf")
    election_due: float = 0.0
    heartbeat_due: float = 0.0
    term_start_index: int = 0
    effects: Effects = field(default_factory=Effects)

    @property
    def voters(self) -> list[str]:
        """Node ids of the voting members."""
        return [m.node_id for m in self.members if m.voting]

    @property
    def is_voter(self) -> bool:
        """Whether this replica votes."""
        return self.node_id in self.voters

    @property
    def may_stand(self) -> bool:
        """Whether this replica may stand for election.

        One whose removal is not committed may be the only one with a log that
        can win, so it stands as long as the committed membership has it.
        """
        if self.is_voter:
            return True
        _, committed = self.log.members_at(self.commit)
        return any(m.node_id == self.node_id and m.voting for m in committed)

    def quorum(self) -> int:
        """Return how many voters make a majority."""
        return len(self.voters) // 2 + 1

    def refresh_members(self) -> None:
        """Take the latest membership that stands in the log, committed or not."""
        self.members_index, self.members = self.log.members_at(self.log.last_index)

    def send(self, to: str, message: Message) -> None:
        """Ask the shell to send a message."""
        self.effects.messages.append((to, message))

    def take_effects(self) -> Effects:
        """Return what was asked of the shell since the last call."""
        effects, self.effects = self.effects, Effects()
        return effects

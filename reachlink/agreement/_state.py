"""State of one replica, and the effects that its caller must execute."""

from dataclasses import dataclass, field
from enum import Enum
from random import Random

from reachlink.agreement._log import Log
from reachlink.agreement._messages import Entry, Member, Message, SnapshotRequest


class Role(Enum):
    """Raft role of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "trial"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True, frozen=True)
class Timing:
    """Durations in seconds.

    Attributes
    ----------
    heartbeat_s : float
        Interval between heartbeats.
    election_min_s, election_max_s : float
        Range of the random election timeout.
    first_election_min_s, first_election_max_s : float
        Range of the random delay before the first election after a start. It
        spans several round trips, so that two replicas seldom campaign at once.
    drift : float
        Maximum relative difference between the rates of two clocks.
    """

    heartbeat_s: float = 0.15
    election_min_s: float = 0.6
    election_max_s: float = 1.0
    first_election_min_s: float = 0.02
    first_election_max_s: float = 0.2
    drift: float = 0.1


@dataclass(slots=True)
class Progress:
    """Replication progress of one follower, as the leader sees it.

    Times are monotonic, in seconds. `acked_sent_at` is the leader's time at
    which it sent the latest message that the follower acknowledged.
    """

    next_index: int
    match_index: int = 0
    acked_sent_at: float = float("-inf")
    last_reply_at: float = float("-inf")
    snapshot_sent_at: float = float("-inf")


@dataclass(slots=True)
class Effects:
    """Effects of one or more events, which the caller executes in this order.

    Everything from `hard_state` to `append` must be on disk before any of
    `messages` is sent and before `committed` is applied.
    """

    hard_state: bool = False
    install_snapshot: SnapshotRequest | None = None
    truncate_from: int | None = None
    append: list[Entry] = field(default_factory=list)
    messages: list[tuple[str, Message]] = field(default_factory=list)
    snapshot_to: list[str] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)

    def must_sync(self) -> bool:
        """Return whether there is anything to write to disk."""
        return bool(self.hard_state or self.install_snapshot or self.truncate_from or self.append)


@dataclass(slots=True)
class ReplicaState:
    """State of one replica.

    `term`, `voted_for` and `log` are persisted; the rest is lost on a restart.
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
    leader_contact_at: float = float("-inf")
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
        """Whether this replica is a voting member."""
        return self.node_id in self.voters

    @property
    def may_campaign(self) -> bool:
        """Whether this replica may start an election.

        A replica whose removal is not committed may be the only one whose log
        can win an election, so it remains eligible while it is a voter in the
        committed membership.
        """
        if self.is_voter:
            return True
        _, committed = self.log.members_at(self.commit)
        return any(m.node_id == self.node_id and m.voting for m in committed)

    def quorum(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def refresh_members(self) -> None:
        """Use the latest membership in the log, committed or not."""
        self.members_index, self.members = self.log.members_at(self.log.last_index)

    def send(self, to: str, message: Message) -> None:
        """Add a message to the effects."""
        self.effects.messages.append((to, message))

    def pop_effects(self) -> Effects:
        """Return and clear the effects since the last call."""
        effects, self.effects = self.effects, Effects()
        return effects

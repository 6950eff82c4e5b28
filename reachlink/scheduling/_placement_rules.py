"""Rules by which the memory of a replica is given to requests and copies."""

from dataclasses import dataclass
from enum import Enum


class MemoryMeasure(Enum):
    """Memory of a replica that counts as taken."""

    PROMISED = "promised"
    USED = "used"
    USED_AND_COPIES = "used and copies"


@dataclass(slots=True, frozen=True)
class PlacementRules:
    """Rules by which the memory of an engine is given.

    Attributes
    ----------
    memory_share : float
        Share of the memory that may be taken.
    other_zone_margin : float
        Share of the memory by which the load of a replica in another zone must be lower
        for that replica to be preferred.
    measure : MemoryMeasure
        Memory that counts as taken.
    max_pending_transfers : float
        Maximum number of pending transfers of copies to a replica before the next one; its
        network link receives them one after the other.
    own_zone_max_load : float
        Load up to which a replica in the own zone is preferred over replicas in other zones,
        whatever their load.
    """

    memory_share: float
    other_zone_margin: float
    measure: MemoryMeasure
    max_pending_transfers: float = float("inf")
    own_zone_max_load: float = 0.0


# A request uses less memory than is reserved for it until it ends, so slightly more than the
# whole memory may be reserved. Another zone may become unreachable at any time.
# A replica in the own zone is used as long as the request still starts in time there: at a
# load of 0.9, about two prompts of common length are processed first. Without this rule, more
# than a quarter of the requests run in another zone.
REQUEST_RULES = PlacementRules(
    memory_share=1.05, other_zone_margin=0.25, measure=MemoryMeasure.PROMISED, own_zone_max_load=0.9
)
# A request that can wait in the queue starts only where it very likely ends without a
# preemption: engines process the prompts of preempted requests again.
QUEUED_RULES = PlacementRules(
    memory_share=1.0, other_zone_margin=0.25, measure=MemoryMeasure.PROMISED, own_zone_max_load=0.9
)
# A standing copy takes only unused memory and is evictable. A transfer to another zone takes
# twice as long. A replica receives one copy at a time, so that a departure copy does not wait
# behind many transfers.
STANDING_COPY_RULES = PlacementRules(
    memory_share=0.85,
    other_zone_margin=0.15,
    measure=MemoryMeasure.USED_AND_COPIES,
    max_pending_transfers=0,
)
# The copy of a generation that runs in another zone belongs in this instance's zone: the
# generation resumes at it when the zones are disconnected from each other.
LOCAL_COPY_RULES = PlacementRules(
    memory_share=0.85,
    other_zone_margin=0.6,
    measure=MemoryMeasure.USED_AND_COPIES,
    max_pending_transfers=0,
)
# Losing a generation is the worst outcome, so a departure copy may use any free memory, and
# standing copies are evicted for it.
DEPARTURE_COPY_RULES = PlacementRules(
    memory_share=1.0, other_zone_margin=0.15, measure=MemoryMeasure.USED
)

"""Rules by which the memory of a replica is given to requests and copies."""

from dataclasses import dataclass
from enum import Enum


class Measure(Enum):
    """Memory of a replica that counts as taken."""

    PROMISED = "promised"
    USED = "used"
    USED_AND_COPIES = "used and copies"


@dataclass(slots=True, frozen=True)
class Terms:
    """Rules by which the memory of an engine is given.

    Attributes
    ----------
    full : float
        Share of the memory that may be taken.
    far : float
        Share of the memory by which the load of a replica in another zone must be lower
        for that replica to be preferred.
    measure : Measure
        Memory that counts as taken.
    most_arriving : float
        Maximum number of copies in transfer to a replica before the next one; its network
        link receives them one after the other.
    near_enough : float
        Load up to which a replica in the own zone is preferred over replicas in other zones,
        whatever their load.
    """

    full: float
    far: float
    measure: Measure
    most_arriving: float = float("inf")
    near_enough: float = 0.0


# A request uses less memory than is reserved for it until it ends, so slightly more than the
# whole memory may be reserved. Another zone may become unreachable at any time.
# A replica in the own zone is used as long as the request still starts in time there: at a
# load of 0.9, about two prompts of common length are processed first. Without this rule, more
# than a quarter of the requests run in another zone.
REQUEST = Terms(full=1.05, far=0.25, measure=Measure.PROMISED, near_enough=0.9)
# A request that can wait in the queue starts only where it very likely ends without a
# preemption: engines process the prompts of preempted requests again.
IN_LINE = Terms(full=1.0, far=0.25, measure=Measure.PROMISED, near_enough=0.9)
# A copy takes only unused memory and releases it on demand. A transfer to another zone takes
# twice as long. A replica receives one copy at a time, so that a rescued generation does not
# wait behind many transfers.
COPY = Terms(full=0.85, far=0.15, measure=Measure.USED_AND_COPIES, most_arriving=0)
# The copy of a generation that runs in another zone belongs in the own zone: the generation
# continues from it when the zones are disconnected from each other.
COPY_HOME = Terms(full=0.85, far=0.6, measure=Measure.USED_AND_COPIES, most_arriving=0)
# Losing a generation is the worst outcome, so any free memory is used, and copies of
# generations whose replica stays are dropped for it.
RESCUE = Terms(full=1.0, far=0.15, measure=Measure.USED)

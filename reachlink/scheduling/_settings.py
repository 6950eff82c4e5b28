"""Settings that enable the parts of scheduling in a deployment."""

from typing import Annotated

import msgspec
from msgspec import structs

# Memory of an entry process that buffers nothing for callers, in MB.
PROCESS_MB = 64
# Maximum share of the remaining memory that is used for buffers of callers and replicas;
# connections, requests and the state of replicas need the rest.
BUFFER_MEMORY_SHARE = 0.45
# Buffer size on the smallest machine, in MB: the largest request bodies must fit.
MIN_BUFFER_MB = 13


class SchedulingSettings(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Scheduling settings of a deployment.

    Attributes
    ----------
    line : bool
        Whether requests that find no capacity wait in one queue per zone and service.
    pace : bool
        Whether placement uses the speed of replicas, where these report it.
    held_bytes : int
        Maximum number of bytes that an instance buffers for callers and replicas that are
        slow to read or to send; 0 means unlimited.
    over_zones : bool
        Whether one queue serves all zones that reach each other, instead of one queue per
        zone. Order and shares then apply across zones, and queue requests cross zones.
    """

    line: bool = False
    pace: bool = True
    held_bytes: Annotated[int, msgspec.Meta(ge=0)] = 0
    over_zones: bool = False


class SchedulingOverrides(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Overrides of `SchedulingSettings`; None keeps the default of the deployment.

    Attributes
    ----------
    line, pace, over_zones : bool, optional
        See `SchedulingSettings`.
    held_bytes : int, optional
        See `SchedulingSettings`.

    Examples
    --------
    >>> SchedulingOverrides(pace=False).resolve(expects_overload=True)
    SchedulingSettings(line=True, pace=False, held_bytes=0, over_zones=True)
    """

    line: bool | None = None
    pace: bool | None = None
    held_bytes: Annotated[int, msgspec.Meta(ge=0)] | None = None
    over_zones: bool | None = None

    def resolve(self, expects_overload: bool, memory_mb: float = 0.0) -> SchedulingSettings:
        """Return the scheduling settings of a deployment with the overrides applied.

        Parameters
        ----------
        expects_overload : bool
            Whether callers are expected to compete for too little capacity and to read slowly.
        memory_mb : float
            Memory available to this process, in MB; 0 if unknown.
        """
        held_bytes = default_buffer_bytes(memory_mb) if expects_overload else 0
        defaults = SchedulingSettings(
            line=expects_overload, over_zones=expects_overload, held_bytes=held_bytes
        )
        overrides = structs.asdict(self)
        return structs.replace(defaults, **{k: v for k, v in overrides.items() if v is not None})


def default_buffer_bytes(memory_mb: float) -> int:
    """Return the number of bytes that an instance buffers; 0 means unlimited.

    Parameters
    ----------
    memory_mb : float
        Memory available to its process, in MB; 0 if unknown.

    Examples
    --------
    >>> default_buffer_bytes(0.0), default_buffer_bytes(264.0) >> 20
    (0, 90)
    """
    if not memory_mb:
        return 0
    return int(max(MIN_BUFFER_MB, (memory_mb - PROCESS_MB) * BUFFER_MEMORY_SHARE) * (1 << 20))

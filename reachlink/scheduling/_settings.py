"""Settings that enable the parts of scheduling in a deployment."""

from typing import Annotated

import msgspec
from msgspec import structs


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

    def resolve(self, expects_overload: bool, held_bytes: int = 0) -> SchedulingSettings:
        """Return the scheduling settings of a deployment with the overrides applied.

        Parameters
        ----------
        expects_overload : bool
            Whether callers are expected to compete for too little capacity and to read slowly.
        held_bytes : int
            Default of `SchedulingSettings.held_bytes`.
        """
        defaults = SchedulingSettings(
            line=expects_overload, over_zones=expects_overload, held_bytes=held_bytes
        )
        overrides = structs.asdict(self)
        return structs.replace(defaults, **{k: v for k, v in overrides.items() if v is not None})

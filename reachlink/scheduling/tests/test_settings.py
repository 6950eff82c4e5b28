"""What a deployment may ask for."""

import msgspec
import pytest

from reachlink.scheduling import SchedulingOverrides, SchedulingSettings


@pytest.mark.parametrize("kind", [SchedulingSettings, SchedulingOverrides])
def test_negative_buffer_size_is_rejected(kind):
    """It would refuse each body, and count nothing."""
    with pytest.raises(msgspec.ValidationError):
        msgspec.convert({"held_bytes": -1}, kind)
    assert msgspec.convert({"held_bytes": 0}, kind).held_bytes == 0

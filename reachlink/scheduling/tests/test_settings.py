"""Invalid scheduling settings are accepted."""

import msgspec
import pytest

from reachlink.scheduling import SchedulingOverrides, SchedulingSettings


@pytest.mark.parametrize("kind", [SchedulingSettings, SchedulingOverrides])
def test_negative_buffer_size_is_rejected(kind):
    """With a negative size, every body would be refused and nothing counted."""
    with pytest.raises(msgspec.ValidationError):
        msgspec.convert({"held_bytes": -1}, kind)
    assert msgspec.convert({"held_bytes": 0}, kind).held_bytes == 0

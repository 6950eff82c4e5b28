"""The configuration of an entry daemon is refused where it makes no sense."""

import msgspec
import pytest

from reachlink.entry import EntryConfig

CONFIG = {
    "name": "e1",
    "availability_zone": "a",
    "port": 0,
    "bus_address": "127.0.0.1:1",
    "cluster_secret": "",
    "controls": [],
    "platform": {"url": "http://127.0.0.1:1/"},
    "balancer_delay_s": 2.0,
}


def decoded(**values: float) -> EntryConfig:
    return msgspec.json.decode(msgspec.json.encode({**CONFIG, **values}), type=EntryConfig)


@pytest.mark.parametrize("grace_s", [-1.0, 0.5, 2.0])
def test_a_grace_that_ends_before_the_balancer_has_noticed_is_not_taken(grace_s):
    with pytest.raises(msgspec.ValidationError, match=r"stop_grace_s|>= 0"):
        decoded(stop_grace_s=grace_s)


@pytest.mark.parametrize("grace_s", [0.0, 8.0])
def test_a_grace_that_is_long_enough_or_not_known_is_not_refused(grace_s):
    assert decoded(stop_grace_s=grace_s).stop_grace_s == grace_s

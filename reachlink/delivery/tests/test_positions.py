"""Event ids."""

import pytest

from reachlink.delivery import InvalidPositionError, Position, PositionCodec

POSITION = Position("explain", "w1", "explain-3", "abc", "req-1", 17)


def test_round_trip():
    codec = PositionCodec(b"secret")
    assert codec.decode(codec.encode(POSITION)) == POSITION


@pytest.mark.parametrize(
    "spoil", [lambda t: "A" + t, lambda t: t[:-1] + "x", lambda t: "", str.upper]
)
def test_spoiled_id_is_refused(spoil):
    codec = PositionCodec(b"secret")
    with pytest.raises(InvalidPositionError):
        codec.decode(spoil(codec.encode(POSITION)))


def test_id_of_another_cluster_is_refused():
    text = PositionCodec(b"other").encode(POSITION)
    with pytest.raises(InvalidPositionError):
        PositionCodec(b"secret").decode(text)

"""Tests of event ids: altered ids and ids of other clusters must be rejected."""

import pytest

from reachlink.delivery import InvalidPositionError, Position, PositionCodec

POSITION = Position("explain", "w1", "explain-3", "abc", "req-1", 17)


def test_decode_reverses_encode():
    codec = PositionCodec(b"secret")
    assert codec.decode(codec.encode(POSITION)) == POSITION


@pytest.mark.parametrize(
    "spoil", [lambda t: "A" + t, lambda t: t[:-1] + "x", lambda t: "", str.upper]
)
def test_altered_id_is_rejected(spoil):
    codec = PositionCodec(b"secret")
    with pytest.raises(InvalidPositionError):
        codec.decode(spoil(codec.encode(POSITION)))


def test_id_of_another_cluster_is_rejected():
    text = PositionCodec(b"other").encode(POSITION)
    with pytest.raises(InvalidPositionError):
        PositionCodec(b"secret").decode(text)

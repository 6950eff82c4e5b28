"""Delivery of answers: each token once, in order and from a single generation."""

from reachlink.delivery._outcomes import Outcome
from reachlink.delivery._positions import Position, PositionCodec
from reachlink.delivery._rhythm import StallDetector
from reachlink.delivery._stream import (
    Delivery,
    Fail,
    Finish,
    Forward,
    Regenerate,
    Resume,
    Step,
)
from reachlink.delivery.exceptions import DeliveryError, InvalidPositionError

__all__ = [
    "Delivery",
    "DeliveryError",
    "Fail",
    "Finish",
    "Forward",
    "InvalidPositionError",
    "Outcome",
    "Position",
    "PositionCodec",
    "Regenerate",
    "Resume",
    "StallDetector",
    "Step",
]

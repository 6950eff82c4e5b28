"""Estimates answer lengths, learned from finished and unfinished answers."""

from reachlink.lengths._buckets import BUCKET_COUNT, bucket_of, bucket_start
from reachlink.lengths._estimator import LengthEstimator, LengthKey
from reachlink.lengths._survival import SurvivalCurve

__all__ = [
    "BUCKET_COUNT",
    "LengthEstimator",
    "LengthKey",
    "SurvivalCurve",
    "bucket_of",
    "bucket_start",
]

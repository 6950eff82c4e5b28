"""Brittle replicas under bursts beyond what they can do fall no more often than is allowed."""

import pytest

from reachlink.testing._brittle_load import BrittleLoad, Way, play

SIZES = [(7, 3), (24, 3), (65, 28)]


@pytest.mark.parametrize(("instances", "replicas"), SIZES)
def test_they_fall_no_more_often_than_is_allowed(instances, replicas):
    figures = play(BrittleLoad(instances, replicas, Way.SHARED))
    assert figures.falls <= figures.most_falls


def test_without_windows_they_fall_again_and_again():
    figures = play(BrittleLoad(7, 3, Way.IGNORE))
    assert figures.falls > figures.most_falls

"""Ports of two suites on one machine."""

import random

from reachlink.testing._ports import BLOCK_PORTS, PortPool


def test_two_pools_that_draw_the_same_numbers_share_no_port(tmp_path):
    # Both hold their ports unbound, as a fleet does until its processes start.
    one = PortPool(tmp_path, random.Random(7))
    other = PortPool(tmp_path, random.Random(7))
    ports = one.take(BLOCK_PORTS + 1)
    assert not set(ports) & set(other.take(BLOCK_PORTS + 1))
    assert len(set(ports)) == BLOCK_PORTS + 1
    one.close()
    other.close()


def test_ports_that_were_given_back_are_handed_out_again(tmp_path):
    one = PortPool(tmp_path, random.Random(7))
    first = one.take(3)
    one.close()
    other = PortPool(tmp_path, random.Random(7))
    assert set(other.take(3)) == set(first)
    other.close()

"""Expected waits are estimated from busy time only."""

from reachlink.limits import DrainRate


def test_expected_wait_is_zero_without_observations():
    assert DrainRate().expected_wait_s(50, 0.0) == 0.0


def test_idle_time_does_not_count():
    """If idle time counted, a rarely used queue would appear slow and most requests be refused."""
    rate = DrainRate()
    for second in range(10):
        rate.on_busy(float(second))
        rate.on_drained(second + 0.01)
        rate.on_idle(second + 0.01)
    assert rate.expected_wait_s(3, 10.0) < 0.1


def test_expected_wait_grows_while_the_queue_is_stuck():
    rate = DrainRate()
    rate.on_busy(0.0)
    assert rate.expected_wait_s(1, 5.0) >= 5.0


def test_expected_wait_grows_with_the_position():
    rate = DrainRate()
    for i in range(100):
        rate.on_busy(i * 0.1)
        rate.on_drained(i * 0.1)
    assert 0.05 < rate.expected_wait_s(1, 10.0) < 0.2
    assert rate.expected_wait_s(10, 10.0) > 5 * rate.expected_wait_s(1, 10.0)

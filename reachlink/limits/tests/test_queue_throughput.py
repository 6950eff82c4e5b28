"""Expected waits are estimated from busy time only."""

from reachlink.limits import QueueThroughput


def test_expected_wait_is_zero_without_observations():
    assert QueueThroughput().expected_wait_s(50, 0.0) == 0.0


def test_idle_time_does_not_count():
    """If idle time counted, a rarely used queue would appear slow and most requests be refused."""
    throughput = QueueThroughput()
    for second in range(10):
        throughput.on_busy(float(second))
        throughput.on_served(second + 0.01)
        throughput.on_idle(second + 0.01)
    assert throughput.expected_wait_s(3, 10.0) < 0.1


def test_expected_wait_grows_while_the_queue_is_stuck():
    throughput = QueueThroughput()
    throughput.on_busy(0.0)
    assert throughput.expected_wait_s(1, 5.0) >= 5.0


def test_expected_wait_grows_with_the_position():
    throughput = QueueThroughput()
    for i in range(100):
        throughput.on_busy(i * 0.1)
        throughput.on_served(i * 0.1)
    assert 0.05 < throughput.expected_wait_s(1, 10.0) < 0.2
    assert throughput.expected_wait_s(10, 10.0) > 5 * throughput.expected_wait_s(1, 10.0)

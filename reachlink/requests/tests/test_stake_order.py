"""Order in which copies are evicted, and in which departure copies are made."""

from reachlink.requests import AllocationSummary
from reachlink.requests._copy_ranking import departure_copy_rank, must_evict


def test_copy_with_lowest_expected_loss_is_evicted_first():
    small, large = AllocationSummary(1, 3000, 10), AllocationSummary(2, 5000, 90)
    both = [small, large]
    # The capacity is 30,000 tokens, of which 27,900 may be used.
    assert not must_evict(small, both, 19_900, 30_000)
    assert must_evict(small, both, 20_000, 30_000)
    assert not must_evict(large, both, 22_900, 30_000)
    assert must_evict(large, both, 23_000, 30_000)


def test_generation_with_highest_expected_loss_is_copied_first():
    summaries = [
        AllocationSummary(1, 3000, 10),
        AllocationSummary(2, 3000, 90),
        AllocationSummary(3, 3000, 90),
    ]
    assert [departure_copy_rank(summary, summaries) for summary in summaries] == [2, 0, 1]
    # A generation that is not in the list yet has a rank, too.
    assert departure_copy_rank(AllocationSummary(4, 3000, 50), summaries) == 2

"""The order in which copies make room, and in which generations leave."""

from reachlink.requests import AllocationSummary
from reachlink.requests._stake_order import departure_copy_rank, must_evict


def test_the_copy_with_the_least_at_stake_gives_way_first():
    small, large = AllocationSummary(1, 3000, 10), AllocationSummary(2, 5000, 90)
    both = [small, large]
    # 30,000 tokens in all, of which 27,900 may be taken.
    assert not must_evict(small, both, 19_900, 30_000)
    assert must_evict(small, both, 20_000, 30_000)
    assert not must_evict(large, both, 22_900, 30_000)
    assert must_evict(large, both, 23_000, 30_000)


def test_what_is_worth_most_leaves_first():
    notes = [
        AllocationSummary(1, 3000, 10),
        AllocationSummary(2, 3000, 90),
        AllocationSummary(3, 3000, 90),
    ]
    assert [departure_copy_rank(note, notes) for note in notes] == [2, 0, 1]
    # One that the others have not heard of yet has its place all the same.
    assert departure_copy_rank(AllocationSummary(4, 3000, 50), notes) == 2

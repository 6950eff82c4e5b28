"""Tests of the digests by which requests and their parts are recognized."""

from reachlink.quarantine import Fingerprinter
from reachlink.quarantine._fingerprint import MAX_PARTS

MAKER = Fingerprinter(b"secret")


def test_part_is_recognized_in_other_requests_and_at_other_places():
    one = MAKER.features(1, "m", ["a", "b", "c"])
    other = MAKER.features(2, "m", ["d", "b"])
    assert set(one.digests()) & set(other.digests()) == {
        one.parts[1],
        digest_with_model("m", "b"),
    }


def digest_with_model(model: str, part: str) -> int:
    return MAKER.features(0, model, [part]).digests()[-1]


def test_part_with_another_model_has_only_the_digest_of_the_part_in_common():
    one = MAKER.features(1, "m", ["a"])
    other = MAKER.features(2, "n", ["a"])
    assert set(one.digests()) & set(other.digests()) == {one.parts[0]}


def test_digests_depend_on_secret_and_kind():
    one = MAKER.features(0, "a", ["a"])
    other = Fingerprinter(b"other").features(0, "a", ["a"])
    assert one.parts != other.parts
    assert one.model != one.parts[0]


def test_first_and_last_parts_of_a_long_prompt_are_kept():
    names = [f"part-{n}" for n in range(100)]
    kept = MAKER.features(0, "", names).parts
    assert (
        kept == MAKER.features(0, "", [*names[: MAX_PARTS // 2], *names[-MAX_PARTS // 2 :]]).parts
    )
    assert len(kept) == MAX_PARTS

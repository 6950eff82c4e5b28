"""A guardian knows what its ward carries, whatever was lost between them."""

from reachlink.entry._guardians import (
    CarriedBook,
    CarriedGeneration,
    Wards,
    choose_guardian,
)


def carried(name: str) -> CarriedGeneration:
    return CarriedGeneration(name, "r1", "chat", 10.0)


def test_the_guardian_holds_what_is_carried():
    book, wards = CarriedBook("e1"), Wards()
    for name in "abc":
        book.add(carried(name))
    wards.take(book.report_to("e2"))
    book.remove("b")
    book.add(carried("d"))
    wards.take(book.report_to("e2"))
    assert book.report_to("e2") is None
    assert {c.generation for c in wards.orphans(["e1"])} == {"a", "c", "d"}
    assert wards.orphans(["e1"]) == []


def test_a_new_guardian_hears_everything():
    book, wards = CarriedBook("e1"), Wards()
    book.add(carried("a"))
    book.report_to("e2")
    wards.take(book.report_to("e3"))
    assert [c.generation for c in wards.orphans(["e1"])] == ["a"]


def test_the_guardian_is_the_next_in_the_zone():
    peers = [("e2", "z1"), ("e3", "z2"), ("e4", "z1")]
    assert choose_guardian("e1", "z1", peers) == "e2"
    assert choose_guardian("e2", "z1", [("e1", "z1"), ("e4", "z1")]) == "e4"
    assert choose_guardian("e4", "z1", [("e1", "z1"), ("e2", "z1")]) == "e1"
    assert choose_guardian("e1", "z9", peers) == "e2"
    assert choose_guardian("e1", "z1", []) == ""

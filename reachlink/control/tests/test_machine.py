"""The replicated state: edits, claims, audit trail."""

from hypothesis import given, settings
from hypothesis import strategies as st

from reachlink.control import (
    ClaimCommand,
    ClaimStatus,
    CompleteCommand,
    ControlMachine,
    EditCommand,
    EditStatus,
    StoredAnswer,
    check_chain,
)
from reachlink.control._machine import REMEMBERED_EDITS
from reachlink.messaging import encode
from reachlink.settings import Change


def edit(edit_id: str, base: int, value: object = 1, path: str = "defaults.priority"):
    return EditCommand(edit_id, base, [Change(path, value)], "op", "127.0.0.1", 1.0)


class Log:
    """Feeds commands to a machine with growing indexes."""

    def __init__(self, machine: ControlMachine | None = None) -> None:
        self.machine = machine or ControlMachine()
        self.index = 0

    def apply(self, command):
        self.index += 1
        return self.machine.apply(self.index, 1, encode(command))


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.integers(0, 12), st.integers(0, 6), st.integers(0, 11), st.booleans()),
        max_size=40,
    )
)
def test_each_edit_has_one_answer_and_history_is_linear(operations):
    log = Log()
    first: dict[str, object] = {}
    for number, base, value, restore in operations:
        if restore:
            fresh = ControlMachine()
            fresh.restore(log.machine.snapshot())
            log.machine = fresh
        before = log.machine.tree.revision
        result = log.apply(edit(f"e{number}", base, value))
        assert first.setdefault(f"e{number}", result) == result
        after = log.machine.tree.revision
        assert after in (before, before + 1)
        if after > before:
            assert result.status is EditStatus.ACCEPTED
            assert base == before
    assert check_chain(log.machine.audit.records) is None


def test_conflict_shows_what_won():
    log = Log()
    log.apply(edit("a", 0, 3))
    result = log.apply(edit("b", 0, 4))
    assert result.status is EditStatus.CONFLICT
    assert [(c.path, c.new) for c in result.winner] == [("defaults.priority", 3)]


def test_invalid_edit_reports_every_problem_and_changes_nothing():
    log = Log()
    changes = [Change("defaults.priority", 99), Change("defaults.limits.concurent", 1)]
    result = log.apply(EditCommand("a", 0, changes, "op", "", 1.0))
    assert result.status is EditStatus.INVALID
    assert [p.path for p in result.problems] == [
        "defaults.priority",
        "defaults.limits.concurent",
    ]
    assert "did you mean 'limits.concurrent'" in result.problems[1].message
    assert log.machine.tree.revision == 0


def test_a_resend_after_its_id_was_forgotten_is_a_conflict():
    log = Log()
    log.apply(edit("old", 0, 1))
    for i in range(REMEMBERED_EDITS):
        log.apply(edit(f"e{i}", i + 1, i % 10))
    revision = log.machine.tree.revision
    assert log.apply(edit("old", 0, 1)).status is EditStatus.CONFLICT
    assert log.machine.tree.revision == revision


def claim(request: str, body: str = "h", at: float = 1.0):
    return ClaimCommand("w", "k", body, request, "entry-1", 60.0, at)


def test_claim_is_granted_to_one_request():
    log = Log()
    assert log.apply(claim("r1")).status is ClaimStatus.GRANTED
    assert log.apply(claim("r1")).status is ClaimStatus.GRANTED
    assert log.apply(claim("r2")).status is ClaimStatus.RUNNING
    assert log.apply(claim("r2", body="other")).status is ClaimStatus.MISMATCH
    answer = StoredAnswer(200, "text/plain", b"done")
    log.apply(CompleteCommand("w", "k", "r1", "ran", answer, 2.0))
    assert log.apply(claim("r3")).answer == answer


def test_claim_of_a_request_that_did_not_run_is_free_again():
    log = Log()
    log.apply(claim("r1"))
    log.apply(CompleteCommand("w", "k", "r1", "not_run", None, 2.0))
    assert log.apply(claim("r2")).status is ClaimStatus.GRANTED


def test_completion_by_another_request_changes_nothing():
    log = Log()
    log.apply(claim("r1"))
    log.apply(CompleteCommand("w", "k", "r2", "not_run", None, 2.0))
    assert log.apply(claim("r3")).status is ClaimStatus.RUNNING


def test_audit_trail_shows_tampering_and_loss():
    log = Log()
    for i in range(5):
        log.apply(edit(f"e{i}", i, i))
    records = log.machine.audit.records
    assert check_chain(records) is None
    assert check_chain(records[2:]) is None
    assert check_chain([*records[:1], *records[2:]]) == 3
    forged = [*records]
    forged[2] = type(records[2])(
        **{
            f: getattr(records[2], f) if f != "author" else "mallory"
            for f in records[2].__struct_fields__
        }
    )
    assert check_chain(forged) == 3

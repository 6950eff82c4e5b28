"""Tests of transfers in pieces.

Pieces that are lost, repeated or of another content must never result in wrong content.
"""

from random import Random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from reachlink.membership import (
    Delta,
    Holding,
    Inbox,
    Outbox,
    Progress,
    SettingsAnswer,
    SettingsHolder,
    pack_answer,
    unpack_answer,
)
from reachlink.membership._transfers import KEPT_CONTENTS, PIECE_BYTES
from reachlink.routing import NATIVE_FORMAT, PublishedTable, patch_between
from reachlink.settings import ROUTING_PATH, Change

LARGE = Random(1).randbytes(5 * PIECE_BYTES)


@settings(derandomize=True, max_examples=100)
@given(st.lists(st.sampled_from(["next", "lost", "again", "other"]), max_size=60))
def test_lost_and_repeated_pieces_leave_content_intact(steps):
    outbox, inbox = Outbox(), Inbox()
    first = outbox.keep("key", LARGE)
    other = outbox.keep("other", LARGE[::-1])
    last, done = first, None
    for step in [*steps, *["next"] * 12]:
        if step == "lost":
            continue
        if step == "other" and done is None:
            inbox.take(msgspec.structs.replace(other, offset=PIECE_BYTES))
            continue
        if step == "next":
            last = outbox.resume(inbox.progress) or first
        done = done or inbox.take(last)
        if done:
            break
    assert done == LARGE
    assert inbox.progress == Progress()


def test_sender_without_the_content_restarts_with_its_own():
    one, other, inbox = Outbox(), Outbox(), Inbox()
    inbox.take(one.keep("key", LARGE))
    assert other.resume(inbox.progress) is None
    inbox.take(other.keep("key", LARGE[::-1]))
    while (piece := other.resume(inbox.progress)) is not None:
        found = inbox.take(piece)
    assert found == LARGE[::-1]


def test_content_with_wrong_digest_is_fetched_again():
    outbox, inbox = Outbox(), Inbox()
    first = outbox.keep("key", LARGE)
    inbox.take(msgspec.structs.replace(first, data=first.data[::-1]))
    while inbox.progress.content:
        assert inbox.take(outbox.resume(inbox.progress)) is None
    assert inbox.take(first) is None and inbox.progress.held == PIECE_BYTES


def test_only_the_latest_contents_are_kept():
    outbox = Outbox()
    for number in range(3 * KEPT_CONTENTS):
        outbox.keep(number, bytes([number]) * 100)
    assert outbox.first_piece(0) is None
    assert outbox.first_piece(3 * KEPT_CONTENTS - 1) is not None


def holder_of(table: PublishedTable, revision: int) -> SettingsHolder:
    holder = SettingsHolder()
    values = {ROUTING_PATH: msgspec.to_builtins(table)}
    assert holder.take(SettingsAnswer(revision, True, values=values))
    return holder


def test_mismatched_patch_is_rejected_and_all_values_are_requested():
    def table(number: int, text: str) -> PublishedTable:
        return PublishedTable(number, NATIVE_FORMAT, text)

    held, wanted = table(1, '{"other":0}'), table(2, '{"a":1},{"b":2}')
    holder = holder_of(held, 1)
    patch = patch_between(table(1, '{"a":1}'), wanted)
    offer = SettingsAnswer(2, True, [Delta(2, table=patch)])
    assert not holder.take(offer) and bool(holder.patch_error)
    assert holder.tree.routing == held
    source = holder_of(wanted, 2)
    holding = Holding(1, bool(holder.patch_error))
    answer = pack_answer(Outbox(), SettingsAnswer(2, True), holding, source.since)
    assert holder.take(unpack_answer(Inbox(), answer)) and not bool(holder.patch_error)
    assert holder.tree.routing == wanted


@settings(derandomize=True, max_examples=60)
@given(st.lists(st.integers(0, 12), min_size=1, max_size=25), st.integers(0, 2**32))
def test_holders_that_poll_irregularly_converge_to_the_same_table(sizes, seed):
    random = Random(seed)
    source = SettingsHolder()
    readers = [SettingsHolder() for _ in range(3)]
    outbox = Outbox()

    def text(size: int) -> str:
        return ",".join(f'{{"r":"{random.randrange(20)}"}}' for _ in range(size))

    def ask(reader: SettingsHolder) -> None:
        holding = Holding(reader.tree.revision, bool(reader.patch_error))
        head = SettingsAnswer(source.tree.revision, True)
        before = reader.tree.revision
        answer = unpack_answer(Inbox(), pack_answer(outbox, head, holding, source.since))
        if answer is not None:
            reader.take(answer)
        assert reader.tree.revision >= before

    for number, size in enumerate(sizes, 1):
        table = PublishedTable(number, NATIVE_FORMAT, text(size))
        held = source.tree.routing
        if held is None:
            delta = Delta(number, [Change(ROUTING_PATH, msgspec.to_builtins(table))])
        else:
            delta = Delta(number, table=patch_between(held, table))
        assert source.take(SettingsAnswer(number, True, [delta]))
        for reader in readers:
            if random.random() < 0.4:
                ask(reader)
    for reader in readers:
        ask(reader)
        assert reader.tree.values == source.tree.values
        assert reader.tree.routing == table

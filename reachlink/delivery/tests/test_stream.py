"""Tests of delivery over connections that repeat, lose and mix events, or break.

Tokens must be forwarded once, in order and from one generation.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from reachlink.delivery import (
    Delivery,
    Fail,
    Finish,
    Forward,
    Outcome,
    Regenerate,
    Resume,
)
from reachlink.upstreams import TokenEvent

REQUEST = "req-1"


def make_event(generation: str, offset: int, final: bool = False, request: str = REQUEST):
    return TokenEvent(request, generation, offset, final, f"{generation}:{offset}".encode())


def whole(generation: str, length: int) -> list[TokenEvent]:
    events = [make_event(generation, i) for i in range(length)]
    return [*events, make_event(generation, length, final=True)]


class World:
    """An engine and a connection that repeats, loses and mixes events, and breaks."""

    def __init__(self, data, buffered: bool, repeatable: bool) -> None:
        self.data = data
        self.delivery = Delivery(REQUEST, repeatable, buffered)
        self.length = data.draw(st.integers(0, 12), label="length")
        self.generations = 0
        self.received: list[TokenEvent] = []
        self.ended = ""

    def new_generation(self) -> str:
        self.generations += 1
        generation = f"g{self.generations}"
        self.delivery.bind(generation)
        return generation

    def batch(self, generation: str, position: int) -> tuple[list[TokenEvent], int]:
        """Draw the next batch that the connection delivers and the position after it."""
        events = whole(generation, self.length)
        count = self.data.draw(st.integers(1, 4))
        out: list[TokenEvent] = []
        for event in events[position : position + count]:
            fate = self.data.draw(st.sampled_from(["ok", "ok", "ok", "twice", "lost", "mixed"]))
            if fate != "lost":
                out.append(event)
            if fate == "twice":
                out.append(event)
            if fate == "mixed":
                out.append(make_event("other", event.offset))
                out.append(make_event(generation, event.offset, request="req-2"))
        return out, position + count

    def run(self) -> None:
        generation, position = self.new_generation(), 0
        for _ in range(200):
            if self.ended:
                return
            if self.data.draw(st.integers(0, 9)) == 0:
                lost = self.data.draw(st.booleans())
                d = self.delivery
                steps = d.on_generation_lost("gone") if lost else d.on_broken("break")
            else:
                events, position = self.batch(generation, position)
                steps = self.delivery.on_events(events)
                if position > self.length and not steps:
                    steps = self.delivery.on_broken("ended early")
            for step in steps:
                if isinstance(step, Forward):
                    self.received.extend(step.events)
                elif isinstance(step, Resume):
                    assert step.generation == generation
                    position = step.offset
                elif isinstance(step, Regenerate):
                    assert self.delivery.buffered or not self.received
                    assert self.delivery.repeatable
                    self.received.clear()
                    generation, position = self.new_generation(), 0
                elif isinstance(step, Finish):
                    self.ended = "finished"
                elif isinstance(step, Fail):
                    self.ended = "failed"
                    if self.received and not self.delivery.buffered:
                        assert step.outcome is Outcome.RAN


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.data(), st.booleans(), st.booleans())
def test_tokens_arrive_once_in_order_despite_faulty_connection(data, buffered, repeatable):
    world = World(data, buffered, repeatable)
    world.run()
    assert [e.offset for e in world.received] == list(range(len(world.received)))
    assert len({e.generation for e in world.received}) <= 1
    assert all(e.request_id == REQUEST for e in world.received)
    if world.ended == "finished":
        assert len(world.received) == world.length + 1
        assert world.received[-1].final
    if not repeatable:
        assert world.generations == 1


def test_gap_resumes_at_missing_offset():
    delivery = Delivery(REQUEST, True)
    delivery.bind("g")
    steps = delivery.on_events([make_event("g", 0), make_event("g", 2)])
    assert steps == [Forward([make_event("g", 0)]), Resume("g", 1)]


def test_lost_unrepeatable_request_without_token_fails_as_unknown():
    delivery = Delivery(REQUEST, repeatable=False)
    delivery.bind("g")
    assert delivery.on_generation_lost("died") == [Fail(Outcome.UNKNOWN, "died")]

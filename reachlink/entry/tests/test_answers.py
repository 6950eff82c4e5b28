"""Steps of ``answers.feature``: real processes behind the fault-injecting proxy."""

import asyncio
import signal
import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from reachlink.testing import Caller, Fleet, ReceivedAnswer
from reachlink.testing._caller import cancel_quietly
from reachlink.testing._wire import token_text

scenarios("answers.feature")

WAIT_S = 60.0
BODY = {
    "model": "explain",
    "messages": [{"role": "user", "content": "Hvordan leser jeg av måleren? " * 4}],
}


class Story:
    """What a scenario has done so far."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.answers: list[ReceivedAnswer] = []
        self.whole: dict = {}
        self.left_at = 0.0
        self.leaving = ""
        self.late_requests: set[str] = set()
        self.caller = Caller(fleet.session, fleet.workspace_headers("borettslag-nord"))

    def url(self, entry: str) -> str:
        return f"http://{self.fleet.plan(entry).address}/v1/chat/completions"

    async def engine_of(self, generation: str) -> tuple[str, dict]:
        for plan in self.fleet.layout.upstreams:
            if plan.module != "engine" or not self.fleet.alive(plan.name):
                continue
            found = await self.fleet.get(plan.name, f"/v1/generations/{generation}")
            if "generation" in found:
                return plan.name, found
        raise AssertionError(f"no engine has generation {generation}")

    async def first_tokens(self, answer: ReceivedAnswer, count: int) -> None:
        async def enough() -> bool:
            return answer.tokens >= count or answer.error is not None

        await self.fleet.wait_for(enough, WAIT_S, f"{count} tokens")


@pytest.fixture
def story(run, fleet):
    story = Story(fleet)
    yield story
    if story.leaving:
        run(fleet.kill(story.leaving))


@given("every engine repeats, skips and mixes events")
def spoil_events(run, story):
    faults = {"repeat": 0.1, "skip": 0.02, "cross": 0.1}
    for plan in story.fleet.layout.upstreams:
        if plan.module == "engine":
            run(story.fleet.post(plan.name, "/faults", faults))


@given("every engine is slow")
def slow_engines(run, story):
    for plan in story.fleet.layout.upstreams:
        if plan.module == "engine":
            run(story.fleet.post(plan.name, "/faults", {"slow_factor": 10.0}))


@given(parsers.parse("the grace to reconnect is {seconds:f} seconds"))
def set_grace(run, story, seconds):
    async def work():
        result = await story.fleet.edit("entry-3", {"defaults.answers.grace_s": seconds})
        assert result["status"] == "accepted"

        async def in_force():
            ready = await story.fleet.get("entry-1", "/readyz")
            return ready["revision"] >= result["revision"]

        await story.fleet.wait_for(in_force, WAIT_S, "grace in force")

    run(work())


@when(parsers.parse("a caller streams an answer through {entry}"))
def stream_one(run, story, entry):
    story.answers.append(run(story.caller.stream(story.url(entry), BODY)))


@when(parsers.parse("a caller asks {entry} for a whole answer"))
def ask_whole(run, story, entry):
    run(request_whole(story, entry))


async def request_whole(story, entry):
    headers = story.fleet.workspace_headers("borettslag-nord")
    async with story.fleet.session.post(story.url(entry), json=BODY, headers=headers) as response:
        story.whole = {"status": response.status, "body": await response.json()}


@when(parsers.parse("{count:d} callers stream answers at once"))
def stream_many(run, story, count):
    async def work():
        entries = [p.name for p in story.fleet.layout.entries]
        story.answers = await asyncio.gather(
            *(story.caller.stream(story.url(entries[i % len(entries)]), BODY) for i in range(count))
        )

    run(work())


@when(parsers.parse("{count:d} callers stream answers at once while engine links are reset"))
def stream_with_resets(run, story, count):
    async def work():
        story.answers = [ReceivedAnswer() for _ in range(count)]
        entries = [p.name for p in story.fleet.layout.entries]
        tasks = [
            asyncio.ensure_future(
                story.caller.stream(story.url(entries[i % len(entries)]), BODY, answer)
            )
            for i, answer in enumerate(story.answers)
        ]
        for tokens in (10, 30, 60):
            await story.first_tokens(story.answers[0], tokens)
            for plan in story.fleet.layout.upstreams:
                await story.fleet.fault("reset", process=plan.name)
        await asyncio.gather(*tasks)

    run(work())


async def stream_and_interrupt(story, interrupt, entry="entry-1"):
    answer = ReceivedAnswer()
    story.answers = [answer]
    task = asyncio.ensure_future(story.caller.stream(story.url(entry), BODY, answer))
    await story.first_tokens(answer, 10)
    engine, _ = await story.engine_of(answer.events[0].generation)
    await interrupt(engine)
    await task


@when("a caller streams an answer and its engine's link stalls for a while")
def stream_with_stall(run, story):
    async def stall(engine):
        await story.fleet.fault("cut", process=engine)
        await asyncio.sleep(1.5)
        await story.fleet.fault("heal", process=engine)

    run(stream_and_interrupt(story, stall))


@when("a caller streams an answer and its engine is stopped for a while")
def stream_with_freeze(run, story):
    async def freeze(engine):
        story.fleet.signal(engine, signal.SIGSTOP)
        await asyncio.sleep(1.5)
        story.fleet.signal(engine, signal.SIGCONT)

    run(stream_and_interrupt(story, freeze))


@when("a caller streams an answer and its engine is killed mid-stream")
def stream_with_dead_engine(run, story):
    run(stream_and_interrupt(story, story.fleet.kill))


@when("a caller asks for a whole answer and its engine is killed")
def whole_with_dead_engine(run, story):
    async def work():
        task = asyncio.ensure_future(request_whole(story, "entry-1"))
        victim = ""

        async def running():
            nonlocal victim
            for plan in story.fleet.layout.upstreams:
                if plan.module == "engine":
                    held = await story.fleet.get(plan.name, "/v1/generations")
                    if any(g["attached"] and g["tokens"] >= 5 for g in held):
                        victim = plan.name
            return bool(victim)

        await story.fleet.wait_for(running, WAIT_S, "a running generation")
        await story.fleet.kill(victim)
        await task

    run(work())


@when(parsers.parse("a caller streams an answer through {entry}, which is killed mid-stream"))
def stream_with_dead_entry(run, story, entry):
    async def kill(engine):
        await story.fleet.kill(entry)

    run(stream_and_interrupt(story, kill, entry))
    assert story.answers[0].broken


@when(parsers.parse("a caller streams an answer through {entry}, which is stopped mid-stream"))
def stream_with_frozen_entry(run, story, entry):
    async def work():
        answer = ReceivedAnswer()
        story.answers = [answer]
        task = asyncio.ensure_future(story.caller.stream(story.url(entry), BODY, answer))
        await story.first_tokens(answer, 10)
        story.fleet.signal(entry, signal.SIGSTOP)
        count = -1
        while count != len(answer.events):
            # What is still on its way to the caller arrives first.
            count = len(answer.events)
            await asyncio.sleep(0.3)
        await cancel_quietly(task)

    run(work())


@when(parsers.parse("the caller goes on at {entry} with the last event id"))
def go_on(run, story, entry):
    run(story.caller.stream(story.url(entry), BODY, story.answers[0]))


@when("a caller leaves mid-stream")
def leave(run, story):
    async def work():
        answer = ReceivedAnswer()
        story.answers = [answer]
        task = asyncio.ensure_future(story.caller.stream(story.url("entry-1"), BODY, answer))
        await story.first_tokens(answer, 5)
        task.cancel()

    run(work())


@when(parsers.parse("{count:d} callers stream through {entry} and it is asked to stop"))
def stop_under_load(run, story, count, entry):
    async def work():
        story.answers = [ReceivedAnswer() for _ in range(count)]
        tasks = [
            asyncio.ensure_future(story.caller.stream(story.url(entry), BODY, answer))
            for answer in story.answers
        ]
        for answer in story.answers:
            await story.first_tokens(answer, 1)
        story.fleet.signal(entry, signal.SIGTERM)
        await asyncio.gather(*tasks)

    run(work())


@when("an engine starts to leave under load")
def leave_under_load(run, story):
    async def work():
        story.leaving = "explain-2"
        short = {**BODY, "max_tokens": 20}
        entries = [p.name for p in story.fleet.layout.entries]
        tasks = []
        for i in range(60):
            if i == 10:
                await story.fleet.post(story.leaving, "/leave", {})
                story.left_at = time.monotonic()
            answer = ReceivedAnswer()
            story.answers.append(answer)
            late = story.left_at and time.monotonic() - story.left_at >= 3.0
            task = story.caller.stream(story.url(entries[i % len(entries)]), short, answer)
            tasks.append((asyncio.ensure_future(task), bool(late), answer))
            await asyncio.sleep(0.08)
        await asyncio.gather(*(task for task, _, _ in tasks))
        story.late_requests = {answer.request_id for _, late, answer in tasks if late}

    run(work())


@then("the answer is whole and every token is what the engine generated")
@then("all answers are whole and every token is what the engine generated")
def check_whole(run, story):
    async def work():
        assert story.answers
        for answer in story.answers:
            assert answer.error is None, answer.error
            assert answer.problems() == []
            assert answer.done
            _, info = await story.engine_of(answer.events[0].generation)
            assert info["finished"]
            assert info["tokens"] == answer.tokens

    run(work())


@then("its text is what the engine generated")
def check_text(run, story):
    async def work():
        assert story.whole["status"] == 200, story.whole
        body = story.whole["body"]
        text = body["choices"][0]["message"]["content"]
        assert body["choices"][0]["finish_reason"] == "stop"
        for plan in story.fleet.layout.upstreams:
            if plan.module != "engine" or not story.fleet.alive(plan.name):
                continue
            found = await story.fleet.get(
                plan.name, "/v1/generations", params={"request_id": body["id"]}
            )
            if "generation" in found and found["finished"]:
                tokens = (token_text(found["generation"], i) for i in range(found["tokens"]))
                assert text == "".join(tokens)
                return
        raise AssertionError("no engine has the whole generation")

    run(work())


@then("the stream ends with an explicit error and nothing mixed")
def check_error(story):
    (answer,) = story.answers
    assert answer.problems() == []
    assert not answer.done
    assert answer.error is not None
    assert answer.error["outcome"] == "ran"


@then("its generation is cancelled at the engine")
def check_cancelled(run, story):
    async def work():
        generation = story.answers[0].events[0].generation

        async def cancelled():
            _, info = await story.engine_of(generation)
            return info["cancelled"]

        await story.fleet.wait_for(cancelled, WAIT_S, "cancelled")

    run(work())


@then(parsers.parse("{entry} ended with exit code {code:d}"))
def check_exit(run, story, entry, code):
    assert run(story.fleet.exit_code(entry, WAIT_S)) == code


@then("it runs no request that was sent 3 seconds later or more")
def check_left(run, story):
    async def work():
        assert len(story.late_requests) >= 5
        held = await story.fleet.get(story.leaving, "/v1/generations")
        assert not story.late_requests & {g["request_id"] for g in held}
        health = await story.fleet.get(story.leaving, "/healthz")
        # The refused ones came within the time that the news takes to spread.
        assert health["refused"] <= 2 * len(story.fleet.layout.entries)

    run(work())

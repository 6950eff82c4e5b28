"""Steps of ``calls.feature``: calls against what the service recorded."""

import asyncio
import uuid

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

scenarios("calls.feature")

SERVICE = "readings"


class Story:
    """What a scenario has done so far."""

    def __init__(self, fleet) -> None:
        self.fleet = fleet
        self.tag = uuid.uuid4().hex
        self.answers: list[tuple[int, dict, str]] = []
        self.leaving = ""

    async def call(self, entry, key="", body=None, method="POST", path="submit"):
        headers = self.fleet.workspace_headers("borettslag-nord")
        if key:
            headers["Idempotency-Key"] = f"{key}-{self.tag}"
        url = f"http://{self.fleet.plan(entry).address}/{SERVICE}/{path}"
        async with self.fleet.session.request(
            method, url, json={"tag": self.tag, **(body or {})}, headers=headers
        ) as response:
            answer = (
                response.status,
                await response.json(),
                response.headers.get("X-Request-Id", ""),
            )
        self.answers.append(answer)
        return answer

    async def ran(self) -> list[dict]:
        calls: list[dict] = []
        for plan in self.fleet.layout.upstreams:
            if plan.module == "service":
                calls += await self.fleet.get(plan.name, "/calls")
        return [c for c in calls if self.tag in c["body"]]


@pytest.fixture
def story(run, fleet):
    story = Story(fleet)
    yield story
    if story.leaving:
        run(fleet.kill(story.leaving))


@when("a reading is submitted twice under one key through different instances")
def twice(run, story):
    run(story.call("entry-1", "k"))
    run(story.call("entry-6", "k"))


@then("both callers got the same answer and it ran once")
def check_twice(run, story):
    first, second = story.answers
    assert first[0] == second[0] == 200
    assert first[1] == second[1]
    assert len(run(story.ran())) == 1


@when("a key is used again with another body")
def reuse(run, story):
    run(story.call("entry-1", "k", {"value": 1}))
    run(story.call("entry-2", "k", {"value": 2}))


@then("it is refused with status 422 and did not run")
def check_reuse(run, story):
    status, body, _ = story.answers[1]
    assert (status, body["error"]["code"]) == (422, "key_reused")
    assert len(run(story.ran())) == 1


@when("a submission breaks after it ran")
def breaks(run, story):
    run(story.call("entry-1", "k", {"fail": "after"}))


@then("its caller is told that the outcome is unknown")
def check_unknown(story):
    status, body, _ = story.answers[0]
    assert status == 502
    assert body["error"]["outcome"] == "unknown"


@then("a retry with the same key does not run it again")
def check_retry(run, story):
    status, body, _ = run(story.call("entry-4", "k", {"fail": "after"}))
    assert status == 409
    assert body["error"]["outcome"] == "unknown"
    assert len(run(story.ran())) == 1


@when(parsers.parse("{count:d} callers race one key through all instances"))
def race(run, story, count):
    async def work():
        entries = [p.name for p in story.fleet.layout.entries]
        await asyncio.gather(*(story.call(entries[i % 7], "k") for i in range(count)))

    run(work())


@then("it ran once")
def ran_once(run, story):
    assert len(run(story.ran())) == 1
    statuses = {status for status, _, _ in story.answers}
    assert 200 in statuses
    assert statuses <= {200, 409}


@given("kept-alive connections to the service exist")
def warm(run, story):
    async def work():
        await asyncio.gather(*(story.call("entry-1", body={"warm": i}) for i in range(6)))

    run(work())
    story.answers.clear()
    story.tag = uuid.uuid4().hex


@when(parsers.parse("links to the service are reset while {count:d} PUT calls are sent"))
def puts(run, story, count):
    async def reset():
        for _ in range(15):
            for plan in story.fleet.layout.upstreams:
                if plan.module == "service":
                    await story.fleet.fault("reset", process=plan.name)
            await asyncio.sleep(0.02)

    async def work():
        calls = []
        resetting = asyncio.ensure_future(reset())
        for i in range(count):
            calls.append(asyncio.ensure_future(story.call("entry-1", body={"n": i}, method="PUT")))
            await asyncio.sleep(0.01)
        await asyncio.gather(resetting, *calls)

    run(work())


@then("no call ran twice, and every one told as not run did not run")
def check_puts(run, story):
    calls = run(story.ran())
    ids = [c["request_id"] for c in calls]
    assert len(ids) == len(set(ids))
    for status, body, request_id in story.answers:
        if status == 200:
            assert request_id in ids
        elif body["error"]["outcome"] == "not_run":
            assert body["error"]["request_id"] not in ids


@given("sal-en has no control majority")
def cut(run, story):
    run(story.fleet.fault("cut", availability_zone="sal-en"))


@when(parsers.parse("a reading is submitted through {entry} under a key"))
def submit(run, story, entry):
    run(story.call(entry, "k"))


@then("it is refused as not run and did not run")
def check_refused(run, story):
    status, body, _ = story.answers[0]
    assert status == 503
    assert body["error"]["outcome"] == "not_run"
    assert body["error"]["retry_after"] > 0
    assert run(story.ran()) == []


@when(parsers.parse("{name} starts to leave"))
def start_leaving(run, story, name):
    story.leaving = name
    run(story.fleet.post(name, "/leave", {}))


@then("calls succeed elsewhere")
def check_elsewhere(run, story):
    async def work():
        entries = [p.name for p in story.fleet.layout.entries]
        return await asyncio.gather(*(story.call(entries[i % 7]) for i in range(21)))

    answers = run(work())
    assert {status for status, _, _ in answers} == {200}
    assert story.leaving not in {body["by"] for _, body, _ in answers}

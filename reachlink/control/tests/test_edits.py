"""Steps of ``edits.feature``: real processes behind the fault-injecting proxy."""

import asyncio
import signal

from pytest_bdd import parsers, scenarios, then, when

from reachlink.control import check_chain
from reachlink.control.tests.story import PATH, WAIT_S

scenarios("edits.feature")


async def edits_with_fault(story, count, number, later):
    leader = await story.leader()
    others = [e for e in story.entries()]
    for i in range(count):
        if i == count // 4:
            story.fleet.signal(leader, number)
        if i == 3 * count // 4:
            await later(leader)
        await story.edit(others[i % len(others)])


@when(parsers.parse("{count:d} edits are sent while the leader is killed"))
def edits_with_kill(run, story, count):
    async def later(leader):
        await story.fleet.exit_code(leader, WAIT_S)
        story.fleet.launch(leader)

    run(edits_with_fault(story, count, signal.SIGKILL, later))


@when(parsers.parse("{count:d} edits are sent while the leader is stopped and later goes on"))
def edits_with_stop(run, story, count):
    async def later(leader):
        story.fleet.signal(leader, signal.SIGCONT)

    run(edits_with_fault(story, count, signal.SIGSTOP, later))


@when(parsers.parse("three operators race {count:d} edits through different instances"))
def race(run, story, count):
    async def operator(name, where):
        base = await story.revision(where)
        for i in range(count // 3):
            body = await story.send(where, f"race-{id(story)}-{name}-{i}", i, base)
            base = body["revision"]

    async def work():
        await asyncio.gather(
            *(operator(i, where) for i, where in enumerate(["entry-1", "entry-3", "entry-6"]))
        )

    run(work())


@then("each revision was won once and every loser was shown a winner")
def check_race(story):
    won = [a["revision"] for a in story.answers if a["status"] == "accepted"]
    lost = [a for a in story.answers if a["status"] == "conflict"]
    assert len(won) == len(set(won))
    assert won and lost
    assert all(a["winner"] and a["winner"][0]["path"] == PATH for a in lost)


@when("an edit is sent, everything is killed and started, and the edit is sent again elsewhere")
def resend(run, story):
    async def work():
        base = await story.revision("entry-1")
        edit_id = f"resent-{id(story)}"
        await story.send("entry-1", edit_id, 77, base)
        for plan in (*story.fleet.layout.controls, *story.fleet.layout.entries):
            await story.fleet.kill(plan.name)
        await story.fleet.restore()
        await story.edit("entry-2")
        await story.send("entry-5", edit_id, 77, base)

    run(work())


@then("both answers are the same and the edit took effect once")
def check_resend(run, story):
    first, again = story.answers[0], story.answers[-1]
    assert first == again
    assert first["status"] == "accepted"
    records = run(story.audit())
    assert [r.edit_id for r in records].count(first["edit_id"]) == 1


@when("the limit of a workspace is set to 1 and two requests come at once")
def limited(run, story):
    async def work():
        path = "workspaces.leietaker-1.limits.concurrent"
        body = await story.fleet.edit("entry-1", {path: 1})
        assert body["status"] == "accepted"
        await story.everywhere(body["revision"])
        headers = story.fleet.workspace_headers("leietaker-1")
        request = {"model": "explain", "messages": [{"role": "user", "content": "Hei"}]}
        url = f"http://{story.fleet.plan('entry-1').address}/v1/chat/completions"

        async def ask():
            async with story.fleet.session.post(url, json=request, headers=headers) as response:
                return response.status, response.headers, await response.json()

        story.answers = await asyncio.gather(*(ask() for _ in range(4)))
        await story.fleet.edit("entry-1", {path: None})

    run(work())


@then("one is refused with a time to come back, and none was run")
def check_limited(story):
    refused = [a for a in story.answers if a[0] == 429]
    assert refused
    assert any(a[0] == 200 for a in story.answers)
    for _, headers, body in refused:
        assert int(headers["Retry-After"]) >= 1
        assert body["error"]["outcome"] == "not_run"


@then("the audit trail names who, from where, what from and what to, and its chain is whole")
def check_audit(run, story):
    records = run(story.audit())
    assert check_chain(records) is None
    last = records[-1]
    assert (last.author, last.source, last.accepted) == ("demo", "127.0.0.1", True)
    assert last.changes[0].path == PATH
    assert last.changes[0].new == story.counter

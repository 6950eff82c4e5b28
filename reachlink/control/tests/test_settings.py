"""Steps of ``settings.feature``: real processes behind the fault-injecting proxy."""

import asyncio
import contextlib
import shutil
import signal

import aiohttp
import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from reachlink.conftest import small_scenario
from reachlink.control import AuditRecord, check_chain
from reachlink.testing import Fleet

scenarios("settings.feature")

WAIT_S = 60.0
PATH = "defaults.limits.queue_length"
UNSURE = ("control_unavailable", "outcome_unknown")


class Story:
    """What a scenario has done so far."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.accepted: dict[int, str] = {}
        self.answers: list[dict] = []
        self.started = ""
        self.before = 0
        self.counter = 0

    def entries(self, zone: str = "") -> list[str]:
        return [
            p.name for p in self.fleet.layout.entries if not zone or p.availability_zone == zone
        ]

    async def send(self, where: str, edit_id: str, value: int, base: int) -> dict:
        """Send one edit until its outcome is known, resending under its id."""
        for _ in range(60):
            with contextlib.suppress(aiohttp.ClientError, OSError):
                body = await self.fleet.edit(
                    where, {PATH: value}, base_revision=base, edit_id=edit_id
                )
                if body.get("error", {}).get("code") not in UNSURE:
                    self.answers.append(body)
                    if body.get("status") == "accepted":
                        self.accepted[body["revision"]] = edit_id
                    return body
            await asyncio.sleep(0.2)
        raise AssertionError(f"the outcome of {edit_id} stays unknown")

    async def edit(self, where: str) -> dict:
        """Send a new edit on the newest revision until it is accepted."""
        self.counter += 1
        base = await self.revision(where)
        for attempt in range(60):
            edit_id = f"{id(self)}-{self.counter}-{attempt}"
            body = await self.send(where, edit_id, self.counter, base)
            if body["status"] == "accepted":
                return body
            base = body["revision"]
        raise AssertionError("the edit was never accepted")

    async def revision(self, name: str) -> int:
        headers = self.fleet.operator_headers()
        return (await self.fleet.get(name, "/v1/settings", headers=headers))["revision"]

    async def everywhere(self, revision: int, names: list[str] | None = None) -> None:
        async def reached() -> bool:
            for name in names or self.entries():
                if await self.revision(name) < revision:
                    return False
            return True

        await self.fleet.wait_for(reached, WAIT_S, f"revision {revision} everywhere")

    async def leader(self) -> str:
        found = ""

        async def known() -> bool:
            nonlocal found
            for plan in self.fleet.layout.controls:
                with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                    timeout = aiohttp.ClientTimeout(total=1.0)
                    health = await self.fleet.get(plan.name, "/healthz", timeout=timeout)
                    if health["role"] == "leader":
                        found = plan.name
            return bool(found)

        await self.fleet.wait_for(known, WAIT_S, "a leader")
        return found

    async def audit(self) -> list[AuditRecord]:
        records: list[AuditRecord] = []
        while True:
            since = records[-1].sequence if records else 0
            page = await self.fleet.get(
                "entry-4",
                "/v1/audit",
                params={"since": str(since), "limit": "1000"},
                headers=self.fleet.operator_headers(),
            )
            if not page["records"]:
                return records
            records += msgspec.convert(page["records"], list[AuditRecord])


@pytest.fixture(scope="module")
def control_fleet(run, tmp_path_factory):
    """A fleet of its own: these scenarios replace voters and wipe disks."""
    fleet = Fleet(small_scenario(), tmp_path_factory.mktemp("control-fleet"))
    run(fleet.__aenter__())
    yield fleet
    run(fleet.close())


@pytest.fixture
def story(run, control_fleet):
    yield Story(control_fleet)
    run(control_fleet.restore())


@when(parsers.parse("an operator edits through {entry}"))
def edit_once(run, story, entry):
    run(story.edit(entry))


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


@when("sal-tre is cut off, settings change, and sal-tre is healed")
def cut_and_heal(run, story):
    async def work():
        story.before = (await story.edit("entry-3"))["revision"]
        await story.everywhere(story.before)
        await story.fleet.fault("cut", availability_zone="sal-tre")
        for _ in range(5):
            await story.edit("entry-1")
        for name in story.entries("sal-tre"):
            ready = await story.fleet.get(name, "/readyz")
            assert ready == {"ready": True, "revision": story.before}
        await story.fleet.fault("heal", availability_zone="sal-tre")

    run(work())


@then("sal-tre went on with what it had")
def went_on(story):
    assert story.before > 0


@given(parsers.parse("{zone} is cut off after an edit"))
def cut_zone(run, story, zone):
    async def work():
        story.before = (await story.edit("entry-2"))["revision"]
        await story.everywhere(story.before)
        await story.fleet.fault("cut", availability_zone=zone)

    run(work())


@when(parsers.parse("{entry} is killed and started"))
def restart_entry(run, story, entry):
    async def work():
        await story.fleet.kill(entry)
        story.fleet.launch(entry)

    run(work())


@then(parsers.parse("{entry} serves with the newest revision of its zone"))
def serves_newest(run, story, entry):
    async def work():
        await story.fleet.wait_ready([entry], WAIT_S)
        assert await story.revision(entry) == story.before

    run(work())


@when(parsers.parse("every entry instance of {zone} is killed and one is started"))
def restart_zone(run, story, zone):
    async def work():
        names = story.entries(zone)
        for name in names:
            await story.fleet.kill(name)
        story.started = names[0]
        story.fleet.launch(story.started)

    run(work())


@then("it is not ready and says why")
def not_ready(run, story):
    async def work():
        async def explained():
            with contextlib.suppress(aiohttp.ClientError, OSError):
                answer = await story.fleet.get(story.started, "/readyz")
                assert not answer["ready"]
                return "no instance of this availability zone serves" in answer["reason"]
            return False

        await story.fleet.wait_for(explained, WAIT_S, "a reason")

    run(work())


async def change_members(story, body):
    """Send a membership change until it is taken; refusals while catching up are usual."""
    for _ in range(150):
        url = f"http://{story.fleet.plan('entry-1').address}/v1/members"
        async with story.fleet.session.post(
            url, json=body, headers=story.fleet.operator_headers()
        ) as response:
            answer = await response.json()
        if "members" in answer:
            return answer
        message = answer["error"]["message"]
        if "is a member already" in message or "is not a member" in message:
            return answer
        await asyncio.sleep(0.2)
    raise AssertionError(f"{body}: {answer}")


@when("control-3 loses its disk and is replaced, and then another voter is killed")
def replace_voter(run, story):
    async def work():
        for _ in range(5):
            await story.edit("entry-1")
        await story.fleet.kill("control-3")
        shutil.rmtree(story.fleet.folder / "data" / "control-3")
        story.fleet.launch("control-3")
        plan = story.fleet.plan("control-3")

        async def has_identity():
            with contextlib.suppress(aiohttp.ClientError, OSError):
                story.started = (await story.fleet.get("control-3", "/healthz"))["node_id"]
            return bool(story.started)

        await story.fleet.wait_for(has_identity, WAIT_S, "a new identity")
        assert story.started != "control-3-0"
        added = {
            "action": "add",
            "node_id": story.started,
            "address": f"127.0.0.1:{plan.bus_port}",
            "availability_zone": plan.availability_zone,
        }
        await change_members(story, {"action": "remove", "node_id": "control-3-0"})
        await change_members(story, added)
        await change_members(story, {"action": "promote", "node_id": story.started})
        leader = await story.leader()
        victim = next(n for n in ("control-1", "control-2") if n != leader)
        await story.fleet.kill(victim)

    run(work())


@then("an edit is accepted and no accepted one is lost")
def check_replaced(run, story):
    run(story.edit("entry-6"))
    check_history(run, story)


@when(parsers.parse("{count:d} edits are accepted and {control} and {entry} are restarted"))
def many_edits(run, story, count, control, entry):
    async def work():
        base = await story.revision("entry-1")
        for i in range(count):
            body = await story.send("entry-1", f"many-{id(story)}-{i}", i, base)
            base = body["revision"]
        story.before = base
        await story.fleet.kill(control)
        await story.fleet.kill(entry)
        story.fleet.launch(control)
        story.fleet.launch(entry)

    run(work())


@then(parsers.parse("{entry} has every change"))
def has_every_change(run, story, entry):
    async def work():
        await story.fleet.wait_ready([entry], WAIT_S)
        assert await story.revision(entry) >= story.before

    run(work())


@then(parsers.parse("{control} has every change and a bounded disk"))
def control_has_every_change(run, story, control):
    async def work():
        async def reached():
            with contextlib.suppress(aiohttp.ClientError, OSError):
                return await story.revision(control) >= story.before
            return False

        await story.fleet.wait_for(reached, WAIT_S, "every change")
        folder = story.fleet.folder / "data" / control
        assert len(list(folder.glob("log-*.bin"))) <= 2
        assert sum(p.stat().st_size for p in folder.iterdir()) < 4_000_000

    run(work())


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


@then("the edit is in force at every entry instance")
@then("the newest settings are in force at every entry instance")
def in_force(run, story):
    run(story.everywhere(max(story.accepted)))


@then("every accepted edit is in the history, in one line, and none twice")
def check_history(run, story):
    records = run(story.audit())
    accepted = [r for r in records if r.action == "edit" and r.accepted]
    revisions = [r.revision for r in accepted]
    assert revisions == list(range(revisions[0], revisions[0] + len(revisions)))
    ids = [r.edit_id for r in accepted]
    assert len(ids) == len(set(ids))
    by_revision = {r.revision: r.edit_id for r in accepted}
    for revision, edit_id in story.accepted.items():
        assert by_revision[revision] == edit_id
    assert check_chain(records) is None


@then("the audit trail names who, from where, what from and what to, and its chain is whole")
def check_audit(run, story):
    records = run(story.audit())
    assert check_chain(records) is None
    last = records[-1]
    assert (last.author, last.source, last.accepted) == ("demo", "127.0.0.1", True)
    assert last.changes[0].path == PATH
    assert last.changes[0].new == story.counter

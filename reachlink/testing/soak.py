"""Runs the real programs under faults drawn from a seed, and holds their promises against them.

``python -m reachlink.testing.soak --seeds 10`` plays seeds 0 to 9 one after the other, prints a
line for each and the folder with its logs, and ends with 1 if a promise was broken.
"""

import argparse
import asyncio
import contextlib
import json
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import aiohttp
import msgspec

from reachlink.testing._batch import EngineParameters
from reachlink.testing._caller import Caller, ReceivedAnswer
from reachlink.testing._fleet import Fleet, FleetError
from reachlink.testing._scenario import Scenario, WorkspaceScenario
from reachlink.testing._soak_checks import (
    NamedLimit,
    SettingsRecord,
    Submission,
    answer_problems,
    limit_problems,
    submission_problems,
)
from reachlink.testing._soak_faults import Fault, FaultKind, draw_faults

LENGTH_S = 14.0
# How long everything must have been well before instances must show what was accepted, in
# seconds.
SETTLED_S = 5.0
# Callers of each kind at the same time, and the pause between two requests of one, in seconds.
CHATS = 6
SUBMITTERS = 6
PAUSE_S = 0.05
# Of the chats, those that read slowly, and their longest pause after an event, in seconds.
SLOW_READERS = 2
READ_PAUSE_S = 0.4
# Size of the longest submissions, and one in how many is long.
LONG_BYTES = 900_000
LONG_EVERY = 5
# What instances hold of bodies at the most, in bytes: a few of the long ones.
HELD_BYTES = 3 << 20
# How long a caller waits for an answer, and how often it asks for the rest of one.
PATIENCE_S = 8.0
RESUMES = 4
EDIT_PAUSE_S = 0.4
LOOK_PAUSE_S = 0.2
# How long a planned stop may take once nothing fails any more, in seconds.
DRAIN_S = 30.0
WORKSPACE = "caller"
SETTING = f"workspaces.{WORKSPACE}.limits.requests_per_s"
MAX_TOKENS = 60
# Above what any edit sets, so that the limit itself turns nobody away.
FIRST_RATE = 100_000

SCENARIO = Scenario(
    name="soak",
    availability_zones=["a", "b", "c"],
    entries=4,
    controls=3,
    model_replicas=2,
    plain_replicas=2,
    workspaces=[WorkspaceScenario(name=WORKSPACE)],
    balancer_delay_s=0.3,
    platform_lag_s=0.5,
    held_bytes=HELD_BYTES,
    engine=EngineParameters(step_base_ms=12.0, median_output_tokens=40.0, output_sigma=0.5),
)


@dataclass(slots=True)
class SoakResult:
    """What one run came to.

    Attributes
    ----------
    seed : int
        What its faults were drawn from.
    problems : list of str
        Promises that were broken; empty for none.
    counts : dict of str to int
        What was asked for and what came of it.
    folder : str
        Where its logs are.
    """

    seed: int
    problems: list[str]
    counts: dict[str, int]
    folder: str


@dataclass(slots=True)
class _Account:
    """What callers and operators were told."""

    answers: list[ReceivedAnswer] = field(default_factory=list)
    submissions: list[Submission] = field(default_factory=list)
    settings: SettingsRecord = field(default_factory=SettingsRecord)
    limits: list[NamedLimit] = field(default_factory=list)
    drains: list[str] = field(default_factory=list)


class Soak:
    """One run.

    Parameters
    ----------
    fleet : Fleet
        Runs, and in order.
    seed : int
        What faults and callers' choices are drawn from.
    length_s : float
        How long faults come, in seconds.
    """

    def __init__(self, fleet: Fleet, seed: int, length_s: float) -> None:
        self._fleet = fleet
        self._seed = seed
        self._length_s = length_s
        self._random = Random(seed)
        self._account = _Account()
        self._entries = [plan.name for plan in fleet.layout.entries]
        # How often each process was launched.
        self._launches = Counter(plan.name for plan in fleet.layout.processes)
        self._draining: set[str] = set()
        self._ended = asyncio.Event()

    async def run(self) -> SoakResult:
        """Play the run and return what it came to."""
        callers = [asyncio.create_task(work) for work in self._callers()]
        looker = asyncio.create_task(self._look())
        await self._bring_faults()
        await self._fleet.restore()
        await asyncio.sleep(SETTLED_S)
        self._ended.set()
        await asyncio.gather(*callers)
        await self._show_all(settled=True)
        looker.cancel()
        return await self._result()

    def _callers(self) -> list[Any]:
        chats = [
            self._chat(Random(f"{self._seed} chat {n}"), n < SLOW_READERS) for n in range(CHATS)
        ]
        submitters = [self._submit(Random(f"{self._seed} sub {n}"), n) for n in range(SUBMITTERS)]
        return [*chats, *submitters, self._edit()]

    async def _bring_faults(self) -> None:
        modules = ("entry", "control", "engine", "service")
        processes = [p for p in self._fleet.layout.processes if p.module in modules]
        plan = draw_faults([(p.name, p.module) for p in processes], self._length_s, self._seed)
        begun = time.monotonic()
        await asyncio.gather(*(self._bring(fault, begun) for fault in plan.faults))

    async def _bring(self, fault: Fault, begun: float) -> None:
        """Bring one fault about, and end it."""
        await asyncio.sleep(max(0.0, begun + fault.at_s - time.monotonic()))
        if fault.process in self._draining:
            # A planned stop lasts as long as what runs there: no other fault lies over it.
            return
        print(f"{fault.at_s:6.2f} s {fault.process} {fault.kind.value}", file=sys.stderr)
        fleet = self._fleet
        if fault.kind is FaultKind.KILL:
            await fleet.kill(fault.process)
            await asyncio.sleep(fault.for_s)
            self._start(fault.process)
        elif fault.kind is FaultKind.STOP:
            fleet.signal(fault.process, signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
            fleet.signal(fault.process, signal.SIGCONT)
        elif fault.kind is FaultKind.DRAIN:
            self._draining.add(fault.process)
            await self._drain(fault.process)
            self._draining.discard(fault.process)
        elif fault.kind in _REPLICA_FAULTS:
            await self._spoil(fault)
        else:
            await self._spoil_links(fault)

    def _start(self, process: str) -> None:
        self._account.settings.start_again(process)
        self._launches[process] += 1
        self._fleet.launch(process)

    def _has_started(self, process: str) -> bool:
        """Return whether a process has said that it listens, since it was launched last."""
        log = self._fleet.folder / "logs" / f"{process}.log"
        return log.read_text().count("event=entry_started") >= self._launches[process]

    async def _drain(self, process: str) -> None:
        """Stop an instance as planned: what runs there is finished, whatever else fails."""
        # While it loads it listens to nobody yet: the signal just ends it, and cuts nothing.
        had_started = self._has_started(process)
        self._fleet.signal(process, signal.SIGTERM)
        try:
            code = await self._fleet.exit_code(process, DRAIN_S)
        except TimeoutError:
            self._account.drains.append(f"{process} did not end in {DRAIN_S} s")
            await self._fleet.kill(process)
        else:
            if code and (had_started or code != -signal.SIGTERM):
                self._account.drains.append(f"{process} ended with {code} after a planned stop")
        self._start(process)

    async def _spoil(self, fault: Fault) -> None:
        """Have a replica do something wrong, or ask for something."""
        body: dict[FaultKind, dict[str, float]] = {
            FaultKind.BACKOFF: {"wait_s": fault.strength},
            FaultKind.LIMIT: {"limit_per_s": fault.strength},
            FaultKind.EVENTS: {"repeat": 0.02, "skip": 0.01, "cross": 0.01, "reset": 0.02},
            FaultKind.SLOW: {"slow_factor": 5.0},
            FaultKind.UNREAD: {"unread_s": fault.strength},
        }
        since = time.monotonic()
        if not await self._post(fault.process, body[fault.kind]):
            return
        await asyncio.sleep(fault.for_s)
        await self._post(fault.process, {})
        if fault.kind is FaultKind.LIMIT:
            named = NamedLimit(fault.process, fault.strength, since, time.monotonic())
            self._account.limits.append(named)

    async def _post(self, process: str, body: dict[str, float]) -> bool:
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with asyncio.timeout(1.0):
                await self._fleet.post(process, "/faults", body)
                return True
        return False

    async def _spoil_links(self, fault: Fault) -> None:
        fleet, process = self._fleet, fault.process
        if fault.kind is FaultKind.RESET_ONCE:
            await fleet.fault("reset", process=process)
            return
        if fault.kind is FaultKind.DELAY:
            await fleet.fault("delay", process=process, milliseconds=fault.strength)
            await asyncio.sleep(fault.for_s)
            await fleet.fault("delay", process=process, milliseconds=0.0)
            return
        mode = {FaultKind.SILENCE: "stall", FaultKind.SILENCE_BACK: "stall_down"}
        await fleet.fault("cut", process=process, mode=mode.get(fault.kind, "reset"))
        await asyncio.sleep(fault.for_s)
        await fleet.fault("heal", process=process)

    async def _chat(self, random: Random, slow: bool) -> None:
        """Ask for one generation after the other; ask for the rest where one breaks off."""
        pause_s = partial(random.uniform, 0.0, READ_PAUSE_S) if slow else None
        timeout = aiohttp.ClientTimeout(total=PATIENCE_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            caller = Caller(session, self._fleet.workspace_headers(WORKSPACE))
            while not self._ended.is_set():
                answer = ReceivedAnswer()
                self._account.answers.append(answer)
                await self._stream(caller, answer, random, pause_s)
                await asyncio.sleep(PAUSE_S)

    async def _stream(
        self,
        caller: Caller,
        answer: ReceivedAnswer,
        random: Random,
        pause_s: Callable[[], float] | None,
    ) -> None:
        body = {
            "model": SCENARIO.model_service,
            "messages": [{"role": "user", "content": f"question {random.random()}"}],
            "max_tokens": MAX_TOKENS,
        }
        for _ in range(RESUMES):
            url = f"http://{self._address(random)}/v1/chat/completions"
            with contextlib.suppress(TimeoutError):
                await caller.stream(url, body, answer, pause_s=pause_s)
            if answer.done or answer.error is not None or not answer.events:
                return
            await asyncio.sleep(PAUSE_S)

    def _address(self, random: Random) -> str:
        return self._fleet.plan(random.choice(self._entries)).address

    async def _submit(self, random: Random, submitter: int) -> None:
        """Submit one after the other; every other one under a key, again until it is clear."""
        timeout = aiohttp.ClientTimeout(total=PATIENCE_S)
        number = submitter
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not self._ended.is_set():
                key = f"key-{number}" if number // SUBMITTERS % 2 else ""
                one = Submission(number, key)
                self._account.submissions.append(one)
                for _ in range(RESUMES if key else 1):
                    one.told.append(await self._submit_once(session, one, random))
                    if one.told[-1] == "ran":
                        break
                number += SUBMITTERS
                await asyncio.sleep(PAUSE_S)

    async def _submit_once(
        self, session: aiohttp.ClientSession, one: Submission, random: Random
    ) -> str:
        headers = self._fleet.workspace_headers(WORKSPACE)
        if one.key:
            headers["Idempotency-Key"] = one.key
        url = f"http://{self._address(random)}/{SCENARIO.plain_service}/submit"
        try:
            async with session.post(url, data=_submission(one), headers=headers) as response:
                answer = await response.json()
        except aiohttp.ClientConnectorError:
            return "not_run"
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return "unknown"
        if response.status == 200:
            return "ran"
        return str(answer["error"].get("outcome") or "unknown")

    async def _edit(self) -> None:
        """Raise the setting again and again, through one control instance or another."""
        controls = [plan.name for plan in self._fleet.layout.controls]
        record = self._account.settings
        while not self._ended.is_set():
            number = record.next()
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError, KeyError):
                async with asyncio.timeout(2.0):
                    control = self._random.choice(controls)
                    answer = await self._fleet.edit(control, {SETTING: FIRST_RATE + number})
                    if answer.get("status") == "accepted":
                        record.acknowledge(number)
            await asyncio.sleep(EDIT_PAUSE_S)

    async def _look(self) -> None:
        """Look at what each instance shows of the setting."""
        while True:
            await self._show_all(settled=False)
            await asyncio.sleep(LOOK_PAUSE_S)

    async def _show_all(self, settled: bool) -> None:
        await asyncio.gather(*(self._show(name, settled) for name in self._entries))

    async def _show(self, name: str, settled: bool) -> None:
        url = f"http://{self._fleet.plan(name).address}/v1/settings?form=flat"
        headers = self._fleet.operator_headers()
        process = self._fleet.pid(name)
        try:
            async with (
                asyncio.timeout(2.0),
                self._fleet.session.get(url, headers=headers) as response,
            ):
                values = (await response.json()).get("settings", {})
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            if settled:
                self._account.settings.problems.append(f"{name} shows nothing at the end")
            return
        if settled and SETTING not in values:
            self._account.settings.problems.append(f"{name} does not show the setting")
        if SETTING in values and self._fleet.pid(name) == process:
            number = int(values[SETTING]) - FIRST_RATE
            self._account.settings.show(name, number, settled)

    async def _result(self) -> SoakResult:
        account, fleet = self._account, self._fleet
        services = [p.name for p in fleet.layout.upstreams if p.module == "service"]
        calls = [call for name in services for call in await fleet.get(name, "/calls")]
        ran = [json.loads(call["body"])["number"] for call in calls]
        limited = {limit.replica for limit in account.limits}
        arrivals = {
            name: [at for at, _ in (await fleet.get(name, "/healthz"))["arrivals"]]
            for name in limited
        }
        problems = [
            *submission_problems(account.submissions, ran),
            *answer_problems(account.answers),
            *limit_problems(account.limits, arrivals),
            *account.settings.problems,
            *account.drains,
        ]
        counts = {
            "answers": len(account.answers),
            "whole": sum(answer.done for answer in account.answers),
            "submissions": len(account.submissions),
            "acknowledged": sum("ran" in one.told for one in account.submissions),
            "edits": account.settings.acknowledged,
            "limits": len(account.limits),
        }
        return SoakResult(self._seed, problems, counts, str(fleet.folder))


_REPLICA_FAULTS = frozenset(
    {FaultKind.BACKOFF, FaultKind.LIMIT, FaultKind.EVENTS, FaultKind.SLOW, FaultKind.UNREAD}
)


def _submission(one: Submission) -> bytes:
    """Return the body of a submission; some are long."""
    body = msgspec.json.encode({"number": one.number})
    return body.ljust(LONG_BYTES) if one.number % LONG_EVERY == 0 else body


async def play(seed: int, length_s: float, folder: Path) -> SoakResult:
    """Start a fleet, play one run and end the fleet."""
    async with Fleet(SCENARIO, folder) as fleet:
        await fleet.edit(fleet.layout.controls[0].name, {SETTING: FIRST_RATE})
        try:
            return await Soak(fleet, seed, length_s).run()
        except FleetError as error:
            return SoakResult(seed, [str(error)], {}, str(folder))


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0, help="first seed")
    parser.add_argument("--seeds", type=int, default=10, help="number of seeds")
    parser.add_argument("--length-s", type=float, default=LENGTH_S)
    words = parser.parse_args()
    broken = 0
    for seed in range(words.first, words.first + words.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"reachlink-soak-{seed}-"))
        result = asyncio.run(play(seed, words.length_s, folder))
        broken += bool(result.problems)
        print(msgspec.json.encode(result).decode(), flush=True)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()

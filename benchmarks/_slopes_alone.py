"""Slopes that one process measures by itself: memory, sizes and processor time."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from random import Random
from typing import Any

from benchmarks._slope import Slope, fit
from reachlink.control import (
    ClaimCommand,
    CompleteCommand,
    ControlMachine,
    EditCommand,
    StoredAnswer,
)
from reachlink.entry import (
    Digest,
    DigestBook,
    EntryConfig,
    EntryNode,
    PlatformSource,
    ReplicaLoad,
    Ticket,
)
from reachlink.lengths import LengthEstimator, LengthKey
from reachlink.membership import ListedInstance
from reachlink.messaging import encode
from reachlink.placement import ForecastPolicy, MemoryProfile, PlacementRequest
from reachlink.settings import Change, SettingsTree
from reachlink.upstreams import LoadReport


def memory_of(build: Callable[[], Any]) -> float:
    """Return the memory that building something allocates and keeps, in MB."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = build()
        gc.collect()
        held, _ = tracemalloc.get_traced_memory()
        del kept
        return held / 2**20
    finally:
        tracemalloc.stop()


def settings_values(workspaces: int) -> dict[str, object]:
    """Return settings of many workspaces, four values each."""
    values: dict[str, object] = {"services.chat.kind": "model"}
    for i in range(workspaces):
        name = f"workspace-{i}"
        values[f"workspaces.{name}.key_hashes"] = [f"{i:064x}"]
        values[f"workspaces.{name}.weight"] = 1.0 + i % 3
        values[f"services.chat.workspaces.{name}.limits.concurrent"] = 10 + i
        values[f"services.chat.workspaces.{name}.priority"] = i % 9
    return values


def memory_per_workspace() -> Slope:
    """Settings of a workspace in an entry daemon's memory."""
    points = []
    for count in (500, 1500, 3000, 6000, 12000):

        def build(number: int = count) -> SettingsTree:
            tree = SettingsTree(settings_values(number), 1)
            assert len(tree.workspace_by_key) == number
            return tree

        points.append((float(count), round(memory_of(build), 3)))
    return fit("settings memory", "workspaces", "MB", points)


def memory_per_length_key() -> Slope:
    """A learned length distribution in memory."""
    points = []
    for count in (250, 500, 1000, 2000):

        def build(number: int = count) -> LengthEstimator:
            lengths = LengthEstimator()
            for i in range(number):
                key = LengthKey("chat", f"w{i}")
                lengths.observe(key, 0, 100, ended=True)
                lengths.curve(key)
            return lengths

        points.append((float(count), round(memory_of(build), 3)))
    return fit("length memory", "workspaces with traffic", "MB", points)


def decision_cost() -> Slope:
    """One placement decision, with everything that it looks up, against the replicas."""
    key = LengthKey("chat", "w")
    points = []
    for count in (2, 5, 12, 36, 71, 142):
        node = make_node()
        listed = [ListedInstance(f"r{i}", "chat", "one", f"127.0.0.1:{i}") for i in range(count)]
        node.directory.update(listed, 0.0)
        profile = node.ledger.profile_of(key, 200)
        for instance in listed:
            state = node.ledger.replica(instance.name)
            state.report = LoadReport(1, 10, 0, 0, 5000, 100_000, 64, 12.0)
            state.report_at = time.monotonic()
        loads = [ReplicaLoad.of_profile(i.name, profile) for i in listed]
        node.take_digest(Digest("e2", "one", 1, True, loads, {}))
        ticket = Ticket(
            key, PlacementRequest(profile, 200, 300.0), (1, 2, 3), "w", 5, 1.0, 10, 10, 1e12
        )
        policy, random = ForecastPolicy(), Random(1)
        candidates = node.candidate_source("chat")
        runs = 300
        started = time.process_time()
        for _ in range(runs):
            policy.choose(ticket.request, candidates(ticket), random)
        used = 1e6 * (time.process_time() - started) / runs
        node.bus.close()
        points.append((float(count), round(used, 2)))
    return fit("decision", "replicas", "us", points)


def make_node() -> EntryNode:
    """Return an entry instance without sockets of its own."""
    return EntryNode(
        EntryConfig(
            name="e1",
            availability_zone="one",
            port=1,
            bus_address="",
            cluster_secret="s",
            controls=[],
            platform=PlatformSource(url="http://127.0.0.1:1/"),
        )
    )


def profile_cost() -> Slope:
    """Refreshing the memory forecast of generations in flight."""
    lengths = LengthEstimator()
    curve = lengths.curve(LengthKey("chat", "w"))
    points = []
    for count in (10, 40, 80, 160, 320):
        started = time.process_time()
        for _ in range(20):
            MemoryProfile.total(MemoryProfile.of_generation(curve, 200, i) for i in range(count))
        points.append((float(count), round(1e6 * (time.process_time() - started) / 20, 1)))
    return fit("forecast refresh", "generations in flight", "us", points)


def digest_size() -> Slope:
    """Bytes of one digest against the replicas that it tells of."""
    profile = MemoryProfile([3000.0] * 8, [250000.0] * 8, 12.0)
    points = []
    for count in (1, 5, 20, 60):
        loads = [ReplicaLoad.of_profile(f"explain-{i}", profile) for i in range(count)]
        body = encode(Digest("entry-1", "sal-en", 1234, True, loads, {}))
        points.append((float(count), float(len(body))))
    return fit("digest size", "replicas told of", "bytes", points)


def digest_cost() -> Slope:
    """Taking in the digests of peers, and summing them."""
    profile = MemoryProfile([3000.0] * 8, [250000.0] * 8, 12.0)
    points = []
    for peers in (6, 20, 50, 100):
        book = DigestBook()
        digests = [
            Digest(f"e{i}", "z", 1, True, [ReplicaLoad.of_profile("r", profile)] * 5, {})
            for i in range(peers)
        ]
        started = time.process_time()
        for _ in range(20):
            for digest in digests:
                book.take(digest, 1.0)
            book.others_load()
        points.append((float(peers), round(1e6 * (time.process_time() - started) / 20, 1)))
    return fit("digest cost", "peers", "us a round", points)


def snapshot_cost() -> list[Slope]:
    """Size and time of a control snapshot against the settings held."""
    sizes, times = [], []
    for count in (500, 1500, 3000, 6000):
        machine = ControlMachine()
        changes = [Change(p, v) for p, v in settings_values(count).items()]
        machine.apply(1, 1, encode(EditCommand("e", 0, changes, "a", "", 1.0)))
        started = time.process_time()
        data = machine.snapshot()
        times.append((float(count), round(1000 * (time.process_time() - started), 3)))
        sizes.append((float(count), round(len(data) / 2**20, 4)))
    return [
        fit("snapshot size", "workspaces", "MB", sizes),
        fit("snapshot time", "workspaces", "ms", times),
    ]


def claim_cost() -> list[Slope]:
    """Memory and snapshot size of claims that are kept, each with a short answer."""
    memory, sizes = [], []
    for count in (2000, 5000, 10000, 20000):
        machine = ControlMachine()

        def build(number: int = count, target: ControlMachine = machine) -> ControlMachine:
            for i in range(number):
                name = f"{i:032x}"
                claim = ClaimCommand("w1", name, name * 2, name, "entry-1", 3600.0, 1.0)
                target.claims.claim(claim, 1.0)
                answer = StoredAnswer(200, "application/json", b"x" * 60)
                target.claims.complete(CompleteCommand("w1", name, name, "ran", answer, 1.0))
            return target

        memory.append((float(count), round(memory_of(build), 3)))
        sizes.append((float(count), round(len(machine.snapshot()) / 2**20, 3)))
    return [
        fit("claim memory", "claims kept", "MB", memory),
        fit("claim snapshot", "claims kept", "MB", sizes),
    ]


def edit_cost() -> Slope:
    """Validating and applying one edit against the settings held."""
    points = []
    for count in (100, 500, 1500, 3000):
        machine = ControlMachine()
        changes = [Change(p, v) for p, v in settings_values(count).items()]
        machine.apply(1, 1, encode(EditCommand("e", 0, changes, "a", "", 1.0)))
        started = time.process_time()
        for i in range(5):
            change = [Change("defaults.priority", i)]
            machine.apply(2 + i, 1, encode(EditCommand(f"e{i}", 1 + i, change, "a", "", 1.0)))
        points.append((float(count), round(1000 * (time.process_time() - started) / 5, 3)))
    return fit("edit", "workspaces", "ms", points)

"""Modules import only from lower layers, and decision modules do no I/O."""

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
LEVELS = [
    {"kernel"},
    {"telemetry"},
    {"messaging", "routing", "pacing"},
    {"settings", "agreement", "reachability"},
    {"upstreams", "membership"},
    {"lengths"},
    {"placement", "limits", "quarantine", "scheduling"},
    {"delivery"},
    {"ingress"},
    {"control"},
    {"requests"},
    {"coordination"},
    {"entry"},
    {"cli"},
    {"testing"},
]
LEVEL_OF = {name: level for level, names in enumerate(LEVELS) for name in names}
PURE = [
    *(ROOT / "lengths").glob("_*.py"),
    *(ROOT / "pacing").glob("_*.py"),
    *(ROOT / "placement").glob("_*.py"),
    *(ROOT / "limits").glob("_*.py"),
    *(ROOT / "scheduling").glob("_*.py"),
    *(ROOT / "delivery").glob("_*.py"),
    *(ROOT / "settings").glob("_*.py"),
    *(ROOT / "routing").glob("_*.py"),
    ROOT / "ingress" / "_connection_table.py",
    ROOT / "agreement" / "_core.py",
    ROOT / "agreement" / "_membership_planner.py",
    ROOT / "agreement" / "_election.py",
    ROOT / "agreement" / "_replication.py",
    ROOT / "agreement" / "_log.py",
    ROOT / "agreement" / "_state.py",
    ROOT / "coordination" / "_coordinator_selector.py",
    ROOT / "coordination" / "_messages.py",
    ROOT / "coordination" / "_replica_list.py",
    ROOT / "requests" / "_attempts.py",
    ROOT / "requests" / "_replica_tracker.py",
    ROOT / "requests" / "_cold_rates.py",
    ROOT / "requests" / "_event_merger.py",
    ROOT / "requests" / "_model.py",
    ROOT / "requests" / "_wait_limits.py",
    ROOT / "requests" / "_peer_load.py",
    ROOT / "control" / "_machine.py",
    ROOT / "control" / "_claims.py",
    ROOT / "control" / "_audit.py",
    ROOT / "control" / "_members.py",
    ROOT / "control" / "_watchers.py",
    ROOT / "control" / "_zones.py",
    ROOT / "membership" / "_directory.py",
    ROOT / "membership" / "_roster.py",
    ROOT / "membership" / "_spreading.py",
    ROOT / "membership" / "_transfers.py",
    ROOT / "upstreams" / "_retry_after.py",
    ROOT / "reachability" / "_paths.py",
    ROOT / "reachability" / "_peers.py",
    ROOT / "reachability" / "_frames.py",
    ROOT / "entry" / "_digests.py",
    ROOT / "entry" / "_guardians.py",
]
IMPURE = {"asyncio", "aiohttp", "zmq", "socket", "os", "time", "subprocess", "threading"}


def imported(path: Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
    return names


def sources() -> list[Path]:
    return [p for p in ROOT.rglob("*.py") if "tests" not in p.parts and p.parent != ROOT]


def test_modules_import_only_from_lower_layers():
    wrong = []
    for path in sources():
        own = path.relative_to(ROOT).parts[0]
        for name in imported(path):
            parts = name.split(".")
            if parts[0] != "reachlink" or len(parts) < 2 or parts[1] not in LEVEL_OF:
                continue
            if parts[1] != own and LEVEL_OF[parts[1]] >= LEVEL_OF[own]:
                wrong.append(f"{path.relative_to(ROOT)} imports {name}")
    # The only import between packages of one level: the directory lists replicas of upstreams.
    allowed = "membership/_directory.py imports reachlink.upstreams"
    assert [w for w in wrong if w != allowed] == []


@pytest.mark.parametrize("path", PURE, ids=lambda p: str(p.relative_to(ROOT)))
def test_decision_modules_do_no_io(path):
    assert {name.split(".")[0] for name in imported(path)} & IMPURE == set()


def test_every_subpackage_defines_all():
    for name in LEVEL_OF:
        text = (ROOT / name / "__init__.py").read_text()
        assert "__all__" in text, name

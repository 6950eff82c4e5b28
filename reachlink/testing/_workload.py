"""Open-loop workloads: what is due when, from a seed."""

import random
from collections.abc import Sequence

import msgspec

from reachlink.testing._scenario import WorkspaceScenario

BURST_EVERY_S = 10.0
BURST_S = 2.0
BURST_FACTOR = 2.5
TEMPLATE_CHARACTERS = 400
_WORDS = ("katt", "hund", "måler", "vann", "strøm", "fôr", "syk", "gammel", "kjeller")


class Arrival(msgspec.Struct):
    """One request that is due."""

    index: int
    due_s: float
    workspace: str
    prompt: str
    seed: int


def template_of(workspace: str) -> str:
    """Return the text with which every prompt of a workspace begins."""
    source = random.Random(workspace)
    text = f"{workspace}: "
    while len(text) < TEMPLATE_CHARACTERS:
        text += source.choice(_WORDS) + " "
    return text[:TEMPLATE_CHARACTERS]


def make_workload(
    workspaces: Sequence[WorkspaceScenario], rate_per_s: float, duration_s: float, seed: int
) -> list[Arrival]:
    """Return arrivals of a bursty Poisson process.

    Parameters
    ----------
    workspaces : sequence of WorkspaceScenario
        Who sends, by size.
    rate_per_s : float
        Mean rate over bursts and quiet spans.
    duration_s : float
        Length of the workload.
    seed : int
        The same seed and sizes give the same workload.
    """
    source = random.Random(seed)
    share = BURST_S / BURST_EVERY_S
    quiet = rate_per_s / (1 - share + share * BURST_FACTOR)
    names = [w.name for w in workspaces]
    sizes = [w.size for w in workspaces]
    arrivals: list[Arrival] = []
    now = 0.0
    while True:
        in_burst = now % BURST_EVERY_S < BURST_S
        now += source.expovariate(quiet * (BURST_FACTOR if in_burst else 1.0))
        if now >= duration_s:
            return arrivals
        workspace = source.choices(names, sizes)[0]
        question = " ".join(source.choice(_WORDS) for _ in range(source.randint(10, 120)))
        arrivals.append(
            Arrival(
                len(arrivals),
                now,
                workspace,
                template_of(workspace) + question,
                source.getrandbits(31),
            )
        )

"""Effect of the expected memory of long answers of unknown length on nearly full engines."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import pytest

from reachlink.requests._generation_progress import GenerationProgress
from reachlink.scheduling import ReplicaOption, choose_replica

# Engines of a deployment that still take work during a failure.
REPLICAS, CAPACITY_TOKENS, SLOTS = 14, 21_878, 24
# Chats: prompts of about 3,000 tokens; answers with a mean of 744 tokens, a long tail and a
# maximum of 1,756, generated at 10 ms per token. Callers' estimates are wrong by a factor of 3
# and more.
CHATS_PER_S, PROMPT_TOKENS, MEAN_TOKENS, MOST_TOKENS = 13.0, 3000, 744.0, 1756
SPREAD, GUESS_SPREAD = 1.344, 1.2
STEP_S, TOKENS_A_STEP = 0.1, 10
TOKENS_PER_EVENT = 4
LENGTH_S = 120.0

MemoryEstimate = Callable[[GenerationProgress], int]


@dataclass(eq=False)
class Chat:
    """One generation with its actual length and its caller's estimate, in tokens."""

    length: int
    estimated_length: int
    made: int = 0
    # Whether it was preempted: its caller saw a pause, at least as long as the prompt takes.
    paused: bool = False

    @property
    def progress(self) -> GenerationProgress:
        last_event = self.made // TOKENS_PER_EVENT
        return GenerationProgress(
            PROMPT_TOKENS, self.estimated_length, MOST_TOKENS, last_event, TOKENS_PER_EVENT
        )


@dataclass
class Engines:
    """Engines that run chats, and preempt the newest chat when their memory is exhausted."""

    estimate: MemoryEstimate
    seed: int
    # Number of chats whose callers got a whole answer without such a pause.
    whole: int = 0
    asked: int = 0
    refused: int = 0
    preempted: int = 0
    running: list[list[Chat]] = field(default_factory=lambda: [[] for _ in range(REPLICAS)])

    def play(self) -> "Engines":
        random = Random(self.seed)
        for _ in range(int(LENGTH_S / STEP_S)):
            arrivals = sum(random.random() < CHATS_PER_S * STEP_S / 4 for _ in range(4))
            for _ in range(arrivals):
                self.asked += 1
                self._start(self._chat(random), random)
            for chats in self.running:
                self._step(chats, random)
        return self

    def _chat(self, random: Random) -> Chat:
        middle = MEAN_TOKENS / 2.0
        length = min(MOST_TOKENS, round(middle * random.lognormvariate(0.0, SPREAD)) + 1)
        estimated_length = min(
            MOST_TOKENS, round(length * random.lognormvariate(0.0, GUESS_SPREAD)) + 1
        )
        return Chat(length, estimated_length)

    def _start(self, chat: Chat, random: Random) -> None:
        need = PROMPT_TOKENS + chat.estimated_length
        name = choose_replica(
            [self._option(i, chats) for i, chats in enumerate(self.running)], need, random
        )
        if name is None:
            self.refused += 1
        else:
            self.running[int(name)].append(chat)

    def _option(self, number: int, chats: list[Chat]) -> ReplicaOption:
        used = sum(chat.progress.used_tokens for chat in chats)
        return ReplicaOption(
            str(number),
            same_zone=True,
            running=len(chats),
            slots=SLOTS,
            tokens=max(used, sum(self.estimate(chat.progress) for chat in chats)),
            used_tokens=used,
            capacity_tokens=CAPACITY_TOKENS,
        )

    def _step(self, chats: list[Chat], random: Random) -> None:
        for chat in chats:
            chat.made += TOKENS_A_STEP
        ended = [chat for chat in chats if chat.made >= chat.length]
        self.whole += sum(not chat.paused for chat in ended)
        chats[:] = [chat for chat in chats if chat.made < chat.length]
        preempted = []
        while sum(chat.progress.used_tokens for chat in chats) > CAPACITY_TOKENS:
            # Its prompt and its output so far have to be processed again.
            preempted.append(min(chats, key=lambda chat: chat.made))
            preempted[-1].paused = True
            chats.remove(preempted[-1])
        self.preempted += len(preempted)
        for chat in preempted:
            self._start(chat, random)


def fixed(progress: GenerationProgress) -> int:
    return progress.prompt_tokens + progress.expected_tokens


def growing(progress: GenerationProgress) -> int:
    return max(fixed(progress), progress.final_tokens)


def fractions(estimate: MemoryEstimate) -> tuple[float, float, float]:
    """Return the fractions of chats that were preempted, refused, and whole."""
    plays = [Engines(estimate, seed).play() for seed in range(4)]
    asked = sum(p.asked for p in plays)
    return (
        sum(p.preempted for p in plays) / asked,
        sum(p.refused for p in plays) / asked,
        sum(p.whole for p in plays) / asked,
    )


def test_increasing_expected_memory_gives_more_whole_answers_without_pause():
    """Full engines preempt generations if the memory of underestimated ones is not counted."""
    before, now = fractions(fixed), fractions(growing)
    assert before == pytest.approx((0.089, 0.083, 0.831), abs=0.005)
    assert now == pytest.approx((0.005, 0.102, 0.850), abs=0.005)

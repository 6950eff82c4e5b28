"""Continuous batching with limited KV memory: the engine stand-in without its HTTP.

The model is advanced one decoding step at a time by its owner, which also
sleeps for the step's duration; nothing here does I/O or reads a clock.
"""

import math
import random
from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec

from reachlink.testing._lengths import LengthSource


class EngineParameters(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Sizes and speeds of one engine.

    Times are in milliseconds, memory in tokens of KV cache.
    """

    kv_tokens: int = 16_384
    block_tokens: int = 16
    max_batch: int = 64
    step_base_ms: float = 8.0
    step_sequence_ms: float = 0.15
    step_kilotoken_ms: float = 0.25
    prefill_token_ms: float = 0.02
    prefill_chunk_tokens: int = 512
    median_output_tokens: float = 90.0
    output_sigma: float = 1.1
    seed: int = 1


@dataclass(slots=True, eq=False)
class Generation:
    """One answer that the engine is producing or has produced."""

    generation_id: str
    request_id: str
    prompt_blocks: tuple[int, ...]
    prompt_tokens: int
    target_tokens: int
    priority: int
    arrival: int
    tokens: int = 0
    prefill_left: int = 0
    running: bool = False
    finished: bool = False
    cancelled: bool = False
    preemptions: int = 0
    recomputed_tokens: int = 0


@dataclass(slots=True)
class CacheEvent:
    """A prompt block that entered or left the prefix cache."""

    sequence: int
    kind: str
    block: int


@dataclass(slots=True)
class StepResult:
    """What one decoding step did."""

    duration_ms: float
    grown: list[Generation] = field(default_factory=list)
    finished: list[Generation] = field(default_factory=list)


class BatchModel:
    """State of one engine's scheduler.

    Parameters
    ----------
    parameters : EngineParameters
        Sizes and speeds.
    """

    def __init__(self, parameters: EngineParameters) -> None:
        self.parameters = parameters
        self.waiting: list[Generation] = []
        self.running: list[Generation] = []
        self.preemptions = 0
        self.recomputed_tokens = 0
        self.cache_events: list[CacheEvent] = []
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._arrivals = 0
        self._event_sequence = 0
        self._lengths = LengthSource(parameters.median_output_tokens, parameters.output_sigma)
        self._random = random.Random(parameters.seed)

    @property
    def used_tokens(self) -> int:
        """KV memory held by running generations, in tokens."""
        return sum(self._held(generation) for generation in self.running)

    @property
    def busy(self) -> bool:
        """Whether there is anything to step."""
        return bool(self.running or self.waiting)

    def submit(
        self,
        generation_id: str,
        request_id: str,
        prompt_blocks: tuple[int, ...],
        prompt_tokens: int,
        max_tokens: int,
        priority: int,
        seed: int | None,
    ) -> Generation:
        """Queue a new generation; its length is drawn here and not shown."""
        draw = seed if seed is not None else self._random.getrandbits(32)
        template = prompt_blocks[0] if prompt_blocks else 0
        length = self._lengths.draw(template, draw)
        longest = self.parameters.kv_tokens - prompt_tokens - 2 * self.parameters.block_tokens
        generation = Generation(
            generation_id=generation_id,
            request_id=request_id,
            prompt_blocks=prompt_blocks,
            prompt_tokens=prompt_tokens,
            target_tokens=max(1, min(length, max_tokens, longest)),
            priority=priority,
            arrival=self._arrivals,
        )
        self._arrivals += 1
        self.waiting.append(generation)
        return generation

    def cancel(self, generation: Generation) -> None:
        """Drop a generation and free its memory."""
        generation.cancelled = True
        generation.running = False
        for queue in (self.waiting, self.running):
            if generation in queue:
                queue.remove(generation)

    def step(self) -> StepResult:
        """Admit, prefill and decode once."""
        self._admit()
        prefilled = self._prefill()
        self._make_room()
        result = StepResult(self._duration(prefilled))
        for generation in list(self.running):
            if generation.prefill_left == 0:
                self._grow(generation, result)
        return result

    def _held(self, generation: Generation) -> int:
        size = self.parameters.block_tokens
        return math.ceil((generation.prompt_tokens + generation.tokens + 1) / size) * size

    def _admit(self) -> None:
        self.waiting.sort(key=lambda g: (-g.priority, g.arrival))
        used = self.used_tokens
        while self.waiting and len(self.running) < self.parameters.max_batch:
            need = self._held(self.waiting[0])
            if used + need > self.parameters.kv_tokens:
                return
            generation = self.waiting.pop(0)
            used += need
            self._trim_cache(used)
            hit = self._cached_tokens(generation)
            generation.prefill_left = max(1, generation.prompt_tokens + generation.tokens - hit)
            generation.running = True
            self.running.append(generation)

    def _prefill(self) -> int:
        budget = self.parameters.prefill_chunk_tokens
        done = 0
        for generation in self.running:
            if generation.prefill_left and done < budget:
                part = min(generation.prefill_left, budget - done)
                generation.prefill_left -= part
                done += part
        return done

    def _make_room(self) -> None:
        """Preempt until every running generation can grow by one token."""
        while len(self.running) > 1 and self.used_tokens > self.parameters.kv_tokens:
            victim = min(self.running, key=lambda g: (g.priority, -g.arrival))
            self.running.remove(victim)
            victim.running = False
            victim.preemptions += 1
            lost = victim.prompt_tokens + victim.tokens
            victim.recomputed_tokens += lost
            self.preemptions += 1
            self.recomputed_tokens += lost
            self.waiting.append(victim)

    def _duration(self, prefilled: int) -> float:
        p = self.parameters
        decode = p.step_sequence_ms * len(self.running)
        memory = p.step_kilotoken_ms * self.used_tokens / 1000
        return p.step_base_ms + decode + memory + p.prefill_token_ms * prefilled

    def _grow(self, generation: Generation, result: StepResult) -> None:
        generation.tokens += 1
        result.grown.append(generation)
        if generation.tokens >= generation.target_tokens:
            generation.finished = True
            generation.running = False
            self.running.remove(generation)
            self._store(generation)
            result.finished.append(generation)

    def _cached_tokens(self, generation: Generation) -> int:
        hits = 0
        for block in generation.prompt_blocks:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            hits += 1
        return hits * self.parameters.block_tokens

    def _store(self, generation: Generation) -> None:
        for block in generation.prompt_blocks:
            if block not in self._cache:
                self._publish("stored", block)
            self._cache[block] = None
            self._cache.move_to_end(block)
        self._trim_cache(self.used_tokens)

    def _trim_cache(self, used: int) -> None:
        room = max(0, self.parameters.kv_tokens - used) // self.parameters.block_tokens
        while len(self._cache) > room:
            block, _ = self._cache.popitem(last=False)
            self._publish("evicted", block)

    def _publish(self, kind: str, block: int) -> None:
        self._event_sequence += 1
        self.cache_events.append(CacheEvent(self._event_sequence, kind, block))
        del self.cache_events[:-4096]

"""Start, planned stop and forced stop of a daemon."""

import asyncio
import faulthandler
import gc
import signal
from collections.abc import Awaitable, Callable
from typing import Protocol

import aiomisc

from reachlink.kernel._clock import process_started_at, steady_time
from reachlink.kernel._heap import return_large_blocks

GC_THRESHOLDS = (20_000, 20, 50)
HELD_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class _HeldStop:
    """When a signal that was held back during the start came at the earliest."""

    def __init__(self) -> None:
        self.since: float | None = None

    def note(self, since: float) -> None:
        """Note a stop signal that is held back, if there is one that was not noted."""
        if self.since is None and not signal.sigpending().isdisjoint(STOP_SIGNALS):
            self.since = since


_held_stop = _HeldStop()


def stop_signalled_at() -> float:
    """Return when the signal of a planned stop that begins now came, in monotonic seconds.

    For a signal that was held back during the start, the earliest time at which it can have come:
    the process is ended a fixed time after its signal, not after the stop that it begins.
    """
    return steady_time() if _held_stop.since is None else _held_stop.since


class Daemon(Protocol):
    """Interface of a process that `run_daemon` runs."""

    async def start(self) -> None:
        """Open sockets and start background tasks."""

    async def failed(self) -> None:
        """Wait until the daemon cannot go on; for ever if nothing can make it fail."""

    async def drain(self) -> None:
        """Stop accepting new work and wait until running work has finished."""

    async def stop(self) -> None:
        """Close all resources; running work is waited for during a bounded time only."""


def run_daemon(make: Callable[[], Daemon]) -> int:
    """Run a daemon until it is stopped by a signal.

    The first SIGTERM or SIGINT starts a planned stop: `drain`, then `stop`.
    A second one cancels `drain`, so that `stop` follows at once. A daemon that failed is
    stopped without `drain`.

    Parameters
    ----------
    make : callable
        Builds the daemon inside the running event loop.

    Returns
    -------
    int
        Exit code: 0 after a planned stop, 1 after a forced one or a failure.
    """
    # The stack goes to standard error where a fault of native code ends the process.
    faulthandler.enable()
    return_large_blocks()
    _held_stop.note(process_started_at())
    with aiomisc.entrypoint(log_config=False, pool_size=1) as loop:
        return loop.run_until_complete(_serve(make))


async def _serve(make: Callable[[], Daemon]) -> int:
    begun_at = steady_time()
    daemon = make()
    signals: asyncio.Queue[int] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, signals.put_nowait, number)
    await daemon.start()
    # A process may have held these back since before its libraries were loaded. A daemon that
    # handles SIGHUP does so since its start.
    _held_stop.note(begun_at)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HELD_SIGNALS)
    _tune_garbage_collection()
    failed = await _first_done(signals.get(), daemon.failed())
    forced = failed or await _first_done(daemon.drain(), signals.get())
    await daemon.stop()
    return 1 if forced else 0


def _tune_garbage_collection() -> None:
    """Exclude long-lived objects from garbage collection and collect less often.

    Streams create few reference cycles, so most collections find nothing. Rarer
    collections reduce the cost of a token, see ``docs/design/delivery.md``.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


async def _first_done(work: Awaitable[object], interrupt: Awaitable[object]) -> bool:
    """Wait for either awaitable; return whether `interrupt` finished before `work`."""
    working = asyncio.ensure_future(work)
    waiting = asyncio.ensure_future(interrupt)
    done, pending = await asyncio.wait({working, waiting}, return_when=asyncio.FIRST_COMPLETED)
    for task in pending:
        task.cancel()
    # What follows must not run beside work that is still ending.
    await asyncio.wait({working, waiting})
    if working in done:
        working.result()
        return False
    return True

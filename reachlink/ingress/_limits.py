"""How much of a process's memory and descriptors its callers may take."""

import contextlib
import os
import resource
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

MB = 1 << 20
# Control groups (version 2) of the machine, and the one of this process.
GROUPS = Path("/sys/fs/cgroup")
OWN_GROUP = Path("/proc/self/cgroup")
# Memory of a process that serves nobody, in MB.
PROCESS_MB = 64
# Shares of the remaining memory for bodies and answers, and for connections and requests. What
# is left is for what is not counted: objects of decoded bodies, fragmentation of the heap.
BUFFER_MEMORY_SHARE = 0.45
CONNECTION_MEMORY_SHARE = 0.3
# Buffer size on the smallest machine, in MB: the largest request bodies must fit.
MIN_BUFFER_MB = 13
# Memory for connections on the smallest machine, in MB.
MIN_CONNECTION_MB = 4
# Descriptors that are kept for files, readiness and metrics, relayed connections that wait to be
# claimed, and the platform.
RESERVED_DESCRIPTORS = 512
# Share of the other descriptors that callers may take. Connections to replicas need as many: one
# for each call.
CALLER_DESCRIPTOR_SHARE = 0.4
# Share of them that peers may take.
PEER_DESCRIPTOR_SHARE = 0.2
# Smallest number of connections of callers, and of peers.
MIN_CONNECTIONS = 64
# Largest message of a peer to an entry instance, in bytes. What is large comes in pieces.
MAX_PEER_MESSAGE_BYTES = 4 << 20


@dataclass(frozen=True, slots=True)
class IngressLimits:
    """What the callers of one server may take of their process.

    Attributes
    ----------
    max_connections : int
        Largest number of open connections.
    connection_bytes : int
        Memory of all connections and of the requests on them in bytes, without bodies.
    """

    max_connections: int
    connection_bytes: int


# For servers that only answer short questions: readiness and metrics.
PROBE_LIMITS = IngressLimits(max_connections=64, connection_bytes=2 * MB)


def machine_memory_mb(groups: Path = GROUPS, own_group: Path = OWN_GROUP) -> float:
    """Return the memory of the machine in MB, or what control groups leave of it.

    Parameters
    ----------
    groups : pathlib.Path
        Folder of the control groups.
    own_group : pathlib.Path
        File that names the group of this process.
    """
    found = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return min([found, *_group_limits(groups, own_group)]) / MB


def _group_limits(groups: Path, own_group: Path) -> Iterator[int]:
    """Yield the limits in bytes of the control groups (version 2) that this process is in."""
    try:
        group = groups / own_group.read_text().partition("0::/")[2].partition("\n")[0]
    except OSError:
        # A machine without control groups.
        return
    while True:
        with contextlib.suppress(OSError, ValueError):
            # Without a limit there is no such file, or a word in it.
            yield int((group / "memory.max").read_text())
        if group == groups:
            return
        group = group.parent


def machine_descriptors() -> int:
    """Return the number of descriptors that this process may open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def buffer_bytes(memory_mb: float = 0.0) -> int:
    """Return the number of bytes that a process buffers of bodies and answers.

    Parameters
    ----------
    memory_mb : float
        Memory available to the process, in MB; 0 for that of the machine.

    Examples
    --------
    >>> buffer_bytes(264.0) >> 20, buffer_bytes(64.0) >> 20
    (90, 13)
    """
    free_mb = _free_mb(memory_mb)
    return int(max(MIN_BUFFER_MB, free_mb * BUFFER_MEMORY_SHARE) * MB)


def caller_limits(memory_mb: float = 0.0, max_descriptors: int = 0) -> IngressLimits:
    """Return the limits of a server for callers.

    Parameters
    ----------
    memory_mb : float
        Memory available to the process, in MB; 0 for that of the machine.
    max_descriptors : int
        Descriptors that the process may open; 0 for the limit that the machine sets.

    Examples
    --------
    >>> caller_limits(128.0, 4100).max_connections
    1435
    """
    connections = _descriptors(max_descriptors, CALLER_DESCRIPTOR_SHARE)
    memory = max(MIN_CONNECTION_MB, _free_mb(memory_mb) * CONNECTION_MEMORY_SHARE)
    return IngressLimits(connections, int(memory * MB))


def peer_connections(max_descriptors: int = 0) -> int:
    """Return the largest number of connections that peers may open to a process.

    Parameters
    ----------
    max_descriptors : int
        Descriptors that the process may open; 0 for the limit that the machine sets.
    """
    return _descriptors(max_descriptors, PEER_DESCRIPTOR_SHARE)


def _descriptors(max_descriptors: int, share: float) -> int:
    found = min(max_descriptors or machine_descriptors(), machine_descriptors())
    return max(MIN_CONNECTIONS, int((found - RESERVED_DESCRIPTORS) * share))


def _free_mb(memory_mb: float) -> float:
    return (memory_mb or machine_memory_mb()) - PROCESS_MB

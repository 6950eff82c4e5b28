"""Free ports from the system."""

import random
import socket
from pathlib import Path

_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
_LOWEST = 10_000
_USUAL_EPHEMERAL = 32_768


def free_ports(count: int) -> list[int]:
    """Return distinct free TCP ports on the loopback address.

    Parameters
    ----------
    count : int
        How many.

    Returns
    -------
    list of int
        Ports below the range from which the system takes those of outgoing
        connections: one of these could take a port between this call and the
        start of the process that it is meant for.
    """
    source = random.SystemRandom()
    highest = _first_ephemeral()
    found: set[int] = set()
    while len(found) < count:
        port = source.randrange(_LOWEST, highest)
        if port not in found and _is_free(port):
            found.add(port)
    return list(found)


def _first_ephemeral() -> int:
    try:
        return int(_RANGE_FILE.read_text().split()[0])
    except (OSError, ValueError):
        return _USUAL_EPHEMERAL


def _is_free(port: int) -> bool:
    with socket.socket() as trial:
        try:
            trial.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True

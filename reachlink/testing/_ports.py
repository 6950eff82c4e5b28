"""Free ports from the system."""

import socket


def free_ports(count: int) -> list[int]:
    """Return distinct free TCP ports on the loopback address."""
    held = [socket.socket() for _ in range(count)]
    try:
        for item in held:
            item.bind(("127.0.0.1", 0))
        return [item.getsockname()[1] for item in held]
    finally:
        for item in held:
            item.close()

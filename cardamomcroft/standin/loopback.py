"""Choose addresses for servers on loopback."""

import contextlib
import random
import socket

HOST = "127.0.0.1"
# Below the ephemeral range of the system, so that no client connection takes
# a port before a server listens on it.
PORT_RANGE = (12_000, 32_000)

_chosen_ports: set[int] = set()


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses that were free when probed.

    Within a process none is returned twice, as it may be bound later. Raise
    RuntimeError when no port is left.
    """
    ports = [port for port in range(*PORT_RANGE) if port not in _chosen_ports]
    random.SystemRandom().shuffle(ports)
    addresses: list[str] = []
    while len(addresses) < count:
        if not ports:
            raise RuntimeError(f"no free port in {PORT_RANGE}")
        port = ports.pop()
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            _chosen_ports.add(port)
            addresses.append(f"{HOST}:{port}")
    return addresses

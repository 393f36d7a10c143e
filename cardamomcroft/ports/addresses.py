"""Parse network addresses."""


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; raise ValueError if it is malformed."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"expected host:port, found {address!r}")
    return host, int(port)

"""Define the digests that instances exchange."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """Summarize an instance's state for its peers."""

    instance_id: str
    incarnation: str
    region: str
    data_centre: str
    applied: int
    epoch: int
    log_reachable: bool
    leaving: bool
    http_address: str = ""
    peer_address: str = ""
    requests_running: int = 0
    leaving_workers: tuple[str, ...] = ()
    facts: tuple[str, ...] = ()
    caught_up: bool | None = None  # None from an older version

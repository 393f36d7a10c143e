"""Define the settings of one instance."""

import dataclasses
import datetime
import os
import pathlib

import expression

from cardamomcroft.ports import addresses
from cardamomcroft.settings import documents
from cardamomcroft.settings import parsing

MIN_CLOCK_RATE = 0.98  # slowest rate of a worker's steady clock (protocol)


@dataclasses.dataclass(frozen=True, slots=True)
class Tls:
    """Locate the PEM files of the HTTP listener."""

    certificate: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """Base addresses of the platform's services."""

    log: str
    instances: str


@dataclasses.dataclass(frozen=True, slots=True)
class Logging:
    """Set the format and the lowest level of logged events."""

    format: str = "json"
    level: str = "info"

    def __post_init__(self) -> None:
        """Check the choices."""
        if self.format not in ("json", "console"):
            raise ValueError(
                f"format must be json or console, found {self.format!r}"
            )
        if self.level not in ("debug", "info", "warning", "error"):
            raise ValueError(
                "level must be debug, info, warning or error, "
                f"found {self.level!r}"
            )


@dataclasses.dataclass(frozen=True, slots=True)
class Statsd:
    """Address of the statsd server."""

    host: str
    port: int = 8125
    prefix: str = "cardamomcroft"


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Set periods and time limits, in seconds, and the snapshot interval."""

    schedule_period_s: float = 0.25
    renew_period_s: float = 2.0
    lease_s: float = 12.0
    hold_s: float = 2.0
    digest_period_s: float = 1.0
    digest_fanout: int = 1
    suspicion_s: float = 3.0
    live_window_s: float = 20.0
    self_lease_s: float = 5.0
    call_timeout_s: float = 1.0
    list_period_s: float = 2.0
    read_wait_s: float = 2.0
    review_period_s: float = 2.0
    linger_s: float = 1.5
    drain_s: float = 30.0
    snapshot_every_records: int = 2000

    def __post_init__(self) -> None:
        """Check that values are positive and leases outlast renewals."""
        for field in dataclasses.fields(self):
            if getattr(self, field.name) <= 0:
                raise ValueError(f"{field.name} must be above 0")
        if self.lease_s < 3 * self.renew_period_s:
            raise ValueError(
                "lease_s must be at least three times renew_period_s"
            )
        if self.self_lease_s <= 2 * self.read_wait_s:
            raise ValueError("self_lease_s must be above twice read_wait_s")
        if self.self_lease_s >= self.lease_s:
            raise ValueError("self_lease_s must be below lease_s")

    @property
    def ordered_hold_s(self) -> float:
        """Return the hold, in seconds, to ask of a worker's slow clock."""
        return self.hold_s * MIN_CLOCK_RATE

    @property
    def ordered_lease_s(self) -> float:
        """Return the lease, in seconds, to ask of a worker's slow clock."""
        return self.lease_s * MIN_CLOCK_RATE

    def duration(self, name: str) -> datetime.timedelta:
        """Return the setting ``<name>_s`` as a duration."""
        return datetime.timedelta(seconds=getattr(self, f"{name}_s"))


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Define the settings of one daemon."""

    instance_id: str
    data_centre: str
    region: str
    http_listen: str
    peer_listen: str
    platform: Platform
    peers: dict[str, str] = dataclasses.field(default_factory=dict)
    operators: dict[str, documents.Principal] = dataclasses.field(
        default_factory=dict
    )
    tls: Tls | None = None
    logging: Logging = Logging()
    statsd: Statsd | None = None
    timing: Timing = Timing()
    policy: str = "cardamomcroft"

    def __post_init__(self) -> None:
        """Check the addresses."""
        addresses.split_address(self.http_listen)
        addresses.split_address(self.peer_listen)
        for address in self.peers.values():
            addresses.split_address(address)


def load_timing(path: pathlib.Path | None) -> Timing:
    """Load timing settings from a file, or return the defaults.

    Raise ValueError if the file is invalid.
    """
    if path is None:
        return Timing()
    text = path.read_text(encoding="utf-8")
    checked = parsing.parse_yaml(os.fspath(path), text).bind(
        lambda data: parsing.structure(os.fspath(path), data, Timing)
    )
    if checked.is_error():
        raise ValueError("; ".join(map(str, checked.error)))
    return checked.ok


def load(
    path: pathlib.Path,
) -> parsing.Checked[InstanceSettings, parsing.Problems]:
    """Load and validate the settings file of an instance."""
    name = os.fspath(path)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return expression.Error((parsing.Problem(name, "", str(error)),))
    return parsing.parse_yaml(name, text).bind(
        lambda data: parsing.structure(name, data, InstanceSettings)
    )

"""Read the settings file that the platform writes for a process."""

import dataclasses
import datetime
import os
import pathlib

import yaml

METRICS_PORT = 9464  # as in the deploy file; usual for exporters
PATH_VARIABLE = "CARDAMOMCROFT_CONFIG"
PLANNING_VARIABLE = "CARDAMOMCROFT_PLANNING"
RUN_TIMES_VARIABLE = "CARDAMOMCROFT_RUN_TIMES"
# With the report of its end and the start that follows (0.3 s), a stop that
# takes this long exceeds the 0.9 s for which urgent work can wait.
MIN_SLOW_STOP = datetime.timedelta(milliseconds=600)
_MS = datetime.timedelta(milliseconds=1)
_S = datetime.timedelta(seconds=1)


class SettingsError(Exception):
    """Report an unusable settings file, with its path and the reason."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one process, read once at startup."""

    instance: str
    data_centre: str
    ingress_address: str  # HOST:PORT for clients
    ready_address: str  # HOST:PORT for the readiness probe
    metrics_address: str  # HOST:PORT for the counters
    peer_address: str  # HOST:PORT for other instances
    store_address: str
    advice_address: str | None
    config_bound: datetime.timedelta  # for a configuration to be in force
    max_lease: datetime.timedelta
    cores: float  # processor that the process may use
    memory_mb: int  # that the process may use; 0 if it is not limited
    stop_bound: datetime.timedelta  # for a worker to stop a run
    grace: datetime.timedelta  # from SIGTERM to SIGKILL
    drain: datetime.timedelta
    heartbeat: datetime.timedelta  # period of the workers' entries
    remote_factor: float  # slowdown away from the data or across racks
    checkpoint: datetime.timedelta
    restore: datetime.timedelta
    reclaim: datetime.timedelta  # for guaranteed work to have started
    gang_timeout: datetime.timedelta
    retention: datetime.timedelta  # how long states of ended jobs are kept
    # For an evacuation to be in force; None where there are none.
    evacuation_bound: datetime.timedelta | None = None

    def plans_ahead(self, planning: str = "") -> bool:
        """Return whether scheduling anticipates load, by the mode given.

        ``auto``, the default, decides by how long workers take to stop runs.
        """
        if planning in ("", "auto"):
            return self.stop_bound >= MIN_SLOW_STOP
        if planning in ("ahead", "reactive"):
            return planning == "ahead"
        raise SettingsError(
            f"{PLANNING_VARIABLE} must be auto, ahead or reactive,"
            f" not {planning!r}"
        )


def learns_run_times(plans_ahead: bool, source: str = "") -> bool:
    """Return whether run times are learned, by the source given."""
    if source not in ("", "learned", "declared"):
        raise SettingsError(
            f"{RUN_TIMES_VARIABLE} must be learned or declared, not {source!r}"
        )
    return plans_ahead and source != "declared"


def decode(data: dict, path: str) -> Settings:
    """Decode the settings; raise SettingsError if a field is invalid."""
    try:
        bounds = data["Bounds"]
        listen = data["ListenAddrs"]
        return Settings(
            data["NodeName"],
            data["Zone"],
            listen["FrontendAddr"],
            listen["Ready"],
            f"{data['Ip']}:{METRICS_PORT}",
            f"{data['Ip']}:{data['InternalPorts'][0]}",
            data["platform"]["Address"],
            data.get("Advice") or None,
            bounds["ConfigApplyMs"] * _MS,
            bounds["MaxHoldMs"] * _MS,
            _cores(data.get("Limits") or {}),
            int((data.get("Limits") or {}).get("MemoryMb") or 0),
            bounds["StopTimeoutMs"] * _MS,
            bounds["GraceS"] * _S,
            bounds["DrainMs"] * _MS,
            data["HeartbeatMs"] * _MS,
            float(bounds["RemoteFactor"]),
            bounds["CheckpointS"] * _S,
            bounds["RestoreMs"] * _MS,
            bounds.get("ReclaimMs", 2700) * _MS,
            bounds["GangTimeoutMs"] * _MS,
            bounds["status_s"] * _S,
            _optional_ms(bounds, "EvacuateMs"),
        )
    except KeyError as error:
        raise SettingsError(f"{path}: {error.args[0]} is missing") from None
    except (TypeError, ValueError, IndexError) as error:
        raise SettingsError(f"{path}: {error}") from None


def _optional_ms(bounds: dict, name: str) -> datetime.timedelta | None:
    value = bounds.get(name)
    return None if value is None else value * _MS


def _cores(limits: dict) -> float:
    """Return the processor that a process may use; a core if not limited."""
    # CpuShare is the share of one core, CpuCores how fast that core is.
    return float(limits.get("CpuShare", 1)) * float(limits.get("CpuCores", 1))


def load(path: str | None = None) -> Settings:
    """Load the settings from the path or from that in the environment."""
    path = path or os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError(f"{PATH_VARIABLE} is not set to a settings file")
    try:
        text = pathlib.Path(path).read_text()
        data = yaml.load(text, getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except yaml.YAMLError as error:
        raise SettingsError(f"{path}: {error}") from None
    if not isinstance(data, dict):
        raise SettingsError(f"{path}: top level is not a mapping")
    return decode(data, path)

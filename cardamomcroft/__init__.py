"""Scheduler of multi-accelerator jobs under client accounts' guarantees.

Subpackages are imported on first use.
"""

import importlib
import types

__all__ = [
    "api",
    "charts",
    "daemon",
    "jobs",
    "log",
    "membership",
    "peers",
    "platform",
    "policy",
    "ports",
    "requests",
    "scheduling",
    "settings",
    "standin",
    "state",
    "workers",
]


def __getattr__(name: str) -> types.ModuleType:
    """Import a subpackage on first access."""
    if name in __all__:
        return importlib.import_module(f"cardamomcroft.{name}")
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")

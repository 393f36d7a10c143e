"""Schedule multi-accelerator jobs under client accounts' guarantees.

The subpackages are loaded when they are first used.
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
    """Load a subpackage by its name."""
    if name in __all__:
        return importlib.import_module(f"cardamomcroft.{name}")
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")

"""Import modules where they are used only.

Instances on small machines restart often: the packages of run times take 30 ms
of their start and 1 MB.
"""

import importlib
import types


def load(name: str) -> types.ModuleType:
    """Return a module, imported at the first call."""
    return importlib.import_module(name)

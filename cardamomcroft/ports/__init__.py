"""Interfaces to the platform, the workers, the clock and the metrics.

Submodules are imported by name, since the daemon needs few of them.
"""

__all__ = [
    "base",
    "clock",
    "fleet",
    "messages",
    "metrics",
    "store",
    "verdict",
]

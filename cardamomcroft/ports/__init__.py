"""Meet the platform, the workers, the clock and the metrics."""

from cardamomcroft.ports import base
from cardamomcroft.ports import clock
from cardamomcroft.ports import messages
from cardamomcroft.ports import metrics
from cardamomcroft.ports import verdict

__all__ = ["base", "clock", "messages", "metrics", "verdict"]

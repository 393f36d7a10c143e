"""Limit calls that carry much data by their progress."""

import asyncio
import datetime

STALL_TIMEOUT_S = 2.0  # several retransmissions on a link with losses
MIN_BYTES_PER_S = 10_000  # 2 Mbit/s shared by 25 calls


def slowest_transfer(size: int) -> datetime.timedelta:
    """Return the time that so many bytes may take."""
    return datetime.timedelta(seconds=size / MIN_BYTES_PER_S)


class Progress:
    """Extend a time limit as an answer comes, at a minimum rate."""

    def __init__(self, limit: asyncio.Timeout) -> None:
        """Count from the beginning of the answer, which is now."""
        self._limit = limit
        self._loop = asyncio.get_running_loop()
        self._began_at = self._loop.time()
        self._received = 0
        self.add(0)

    def add(self, size: int) -> None:
        """Extend the time limit after so many more bytes."""
        self._received += size
        slowest_s = STALL_TIMEOUT_S + self._received / MIN_BYTES_PER_S
        self._limit.reschedule(
            min(
                self._loop.time() + STALL_TIMEOUT_S,
                self._began_at + slowest_s,
            )
        )

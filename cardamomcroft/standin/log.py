"""In-memory stand-in for the platform's append-only log."""

import asyncio
import collections
import collections.abc
import datetime

import expression

from cardamomcroft.ports import base
from cardamomcroft.ports import messages
from cardamomcroft.ports import verdict

POLL_STEP = datetime.timedelta(milliseconds=50)


class StandinLog(base.PlatformLog):
    """A log that keeps records in memory, with fault injection."""

    def __init__(self, clock: base.Clock, retention: int = 1_000_000):
        """Create an empty log that retains ``retention`` records."""
        self.payloads: collections.deque[str] = collections.deque()
        self.first = 0
        self.retention = retention
        self.down = False
        self.delay = datetime.timedelta()
        self.lost_answers = 0
        self.lost_requests = 0
        self.injected: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._appended = asyncio.Event()

    @property
    def end(self) -> int:
        """Return the offset after the last record."""
        return self.first + len(self.payloads)

    async def append(
        self, payloads: collections.abc.Sequence[str]
    ) -> expression.Result[int, verdict.Failure]:
        """Append all payloads, unless a fault is injected."""
        if self.down:
            return self._unavailable()
        if self.delay:
            self.injected["log_slow"] += 1
            await self._clock.sleep(self.delay)
        if self.lost_requests:
            self.lost_requests -= 1
            self.injected["append_lost"] += 1
            return _outcome_unknown()
        offset = self.end
        self.payloads.extend(payloads)
        self._expire()
        self._appended.set()
        self._appended = asyncio.Event()
        if self.lost_answers:
            self.lost_answers -= 1
            self.injected["append_answer_lost"] += 1
            return _outcome_unknown()
        return expression.Ok(offset)

    def _unavailable(self) -> expression.Result:
        self.injected["log_down"] += 1
        return expression.Error(
            verdict.not_run(verdict.Reason.UNAVAILABLE, "the log is down")
        )

    def _expire(self) -> None:
        while len(self.payloads) > self.retention:
            self.payloads.popleft()
            self.first += 1

    async def read(
        self, offset: int, limit: int, wait: datetime.timedelta
    ) -> expression.Result[messages.LogPage, verdict.Failure]:
        """Return records from the offset on."""
        if self.down:
            return self._unavailable()
        if offset >= self.end and wait:
            await self._wait_for_growth(wait)
            if self.down:
                return self._unavailable()
        start = max(offset, self.first)
        skipped = start - self.first
        payloads = tuple(
            self.payloads[index]
            for index in range(
                skipped, min(skipped + limit, len(self.payloads))
            )
        )
        return expression.Ok(messages.LogPage(self.first, start, payloads))

    async def _wait_for_growth(self, wait: datetime.timedelta) -> None:
        appended = asyncio.ensure_future(self._appended.wait())
        timer = asyncio.ensure_future(self._clock.sleep(wait))
        try:
            await asyncio.wait(
                {appended, timer}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            appended.cancel()
            timer.cancel()


def _outcome_unknown() -> expression.Result:
    return expression.Error(
        verdict.may_have_run(verdict.Reason.TIMEOUT, "no answer")
    )

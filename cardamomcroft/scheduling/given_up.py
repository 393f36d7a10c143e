"""Track runs that were given up and whose ends nobody has read yet."""

import asyncio
import collections.abc
import datetime
import typing

from cardamomcroft.ports import fleet

if typing.TYPE_CHECKING:
    from cardamomcroft.scheduling import runs

# A start that follows the end of a lease at once relies on the last poll
# before it, as no job may stand for 3 s after 4 s of calm (protocol).
PROMPT_START = datetime.timedelta(milliseconds=300)
LAST_POLL_AGE = datetime.timedelta(milliseconds=600)
# A worker that accepts connections again may list its ends over a slow link;
# for so long after its return no job counts as standing still (protocol).
MAX_RETURN = datetime.timedelta(seconds=4)
_NO_CONNECTION = frozenset(
    {fleet.OrderStatus.UNREACHED, fleet.OrderStatus.NOT_RUN}
)


class GivenUpRuns:
    """Keep a worker's runs that were given up, and when it was absent.

    Once it is back it may list ends of them, as done even.
    """

    def __init__(self) -> None:
        """Create it without runs, of a worker that has not been absent."""
        self.runs_by_task: dict[str, runs.Run] = {}
        self._was_unreached = False  # by the last poll that shows it
        self._absent_at: datetime.timedelta | None = None
        self._back_since: datetime.timedelta | None = None
        self._added_at = datetime.timedelta()
        self._questions = 0
        self._asked = asyncio.Event()

    def add(
        self,
        lost: collections.abc.Iterable["runs.Run"],
        now: datetime.timedelta,
    ) -> None:
        """Add runs; how a task that lasts has ended does not matter."""
        self._added_at = now
        for run in lost:
            if not run.step.model.is_lasting:
                self.runs_by_task[run.name] = run

    def is_current(self, sent_at: datetime.timedelta) -> bool:
        """Return whether an answer to a poll knows how the runs ended."""
        return sent_at >= self._added_at

    def clear(self) -> None:
        """Forget the runs: their ends were read, or can't be any more."""
        self.runs_by_task.clear()
        self.record_answer()

    def prune(self) -> None:
        """Forget the runs of which no end matters any more."""
        for name, run in list(self.runs_by_task.items()):
            job = run.step.job
            is_over = job.is_cancelled or bool(job.final_state)
            if is_over or run.key.index in run.step.done:
                del self.runs_by_task[name]

    def record_answer(self) -> None:
        """Note that the worker has answered."""
        self._absent_at = None
        self._back_since = None
        self._was_unreached = False

    def record_silence(
        self, sent_at: datetime.timedelta, status: fleet.OrderStatus
    ) -> None:
        """Note the outcome of a poll without an inventory.

        A worker is back if it accepts a connection after it did not.
        """
        is_unreached = status in _NO_CONNECTION
        is_silent = status is fleet.OrderStatus.MAY_HAVE_RUN
        if is_unreached or (is_silent and not self._was_unreached):
            self._absent_at = sent_at
            self._back_since = None
            self._was_unreached = is_unreached
        else:
            self._absent_at = None
            self._back_since = self._back_since or sent_at

    def is_absent(
        self, asked_at: datetime.timedelta, now: datetime.timedelta
    ) -> bool:
        """Return whether a start need not wait for the worker's ends.

        A poll has found it absent, or it is back and silent for long.
        """
        if self._back_since is not None:
            return now - self._back_since >= MAX_RETURN
        if self._absent_at is None:
            return False
        if asked_at - self._added_at <= PROMPT_START:
            return self._absent_at >= self._added_at - LAST_POLL_AGE
        return self._absent_at >= asked_at

    @property
    def is_return_awaited(self) -> bool:
        """Return whether the worker was out of reach and has unread ends."""
        return self._was_unreached and bool(self.runs_by_task)

    @property
    def is_asked(self) -> bool:
        """Return whether a start waits for the ends."""
        return self._questions > 0

    def open_question(self) -> None:
        """Let a start wait for the ends; the worker is polled at once."""
        self._questions += 1
        self._asked.set()

    def close_question(self) -> None:
        """Let a start wait no longer."""
        self._questions -= 1
        if not self._questions:
            self._asked.clear()

    async def wait_for_question(self) -> None:
        """Wait until a start waits for the ends."""
        await self._asked.wait()

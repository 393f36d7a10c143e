"""Record starts of tasks of which a reachable worker lists an end."""

import collections
import collections.abc
import dataclasses
import datetime

from cardamomcroft.ports import base
from cardamomcroft.ports import fleet
from cardamomcroft.ports import store as stores
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import ledger

# TWICE allows no start over a second after an end was taken note of.
REACHABLE_BOUND = datetime.timedelta(seconds=1)
_COUNTED = (fleet.End.DONE, fleet.End.FAILED)
_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class ListedEnd:
    """An end that a reachable worker lists while its task starts."""

    worker_id: str
    run: int
    end: fleet.End
    reachable_at: datetime.timedelta
    # By the holder that sends the start; None before any answer.
    answered_at: datetime.timedelta | None

    def is_known(
        self,
        at: datetime.timedelta,
        margin: datetime.timedelta = _ZERO,
        resumed_at: datetime.timedelta = _ZERO,
    ) -> bool:
        """Return whether a start sent at a time has to allow for the end.

        An answer counts once it is older than the margin. A holder whose
        process was suspended until a time reads its answers from then on.
        """
        is_heard = (
            self.answered_at is not None
            and at - max(self.answered_at, resumed_at) > margin
        )
        reachable_for = at - max(self.reachable_at, resumed_at)
        return is_heard or reachable_for > REACHABLE_BOUND


@dataclasses.dataclass(frozen=True, slots=True)
class StartBesideEnds:
    """A start of a task, and the ends of it that are listed then."""

    task: str
    run: int
    worker_id: str
    claim: str
    sent_at: datetime.timedelta
    # Of its runs that have failed or are done; acknowledged before.
    heard_failures: int
    heard_completions: int
    ends: tuple[ListedEnd, ...]

    def completions(self, *margins: datetime.timedelta) -> int:
        """Return how many completions the start had to allow for.

        The margins are those of ``ListedEnd.is_known``.
        """
        return self.heard_completions + self._known(fleet.End.DONE, margins)

    def failures(self, *margins: datetime.timedelta) -> int:
        """Return how many failed runs the start had to allow for."""
        return self.heard_failures + self._known(fleet.End.FAILED, margins)

    def _known(
        self, end: fleet.End, margins: tuple[datetime.timedelta, ...]
    ) -> int:
        return sum(
            listed.end is end and listed.is_known(self.sent_at, *margins)
            for listed in self.ends
        )


class ListedEnds:
    """Follow the workers' lists of ends, and who has had an answer."""

    def __init__(self, clock: base.Clock) -> None:
        """Record nothing yet."""
        self._clock = clock
        # Workers whose answers are on their way for long: nobody is expected
        # to know what they list.
        self.distant_workers: collections.abc.Container[str] = ()
        # Names the claim that a token belongs to.
        self.claim_of: collections.abc.Callable[[int], str] = str
        self.starts: list[StartBesideEnds] = []
        self._ends_by_task: dict[str, list[tuple]] = collections.defaultdict(
            list
        )
        self._claimed_at: dict[str, datetime.timedelta] = {}

    def record_contact(self, token: int) -> None:
        """Record that a worker has got an order with a token."""
        now = self._clock.monotonic()
        self._claimed_at.setdefault(self.claim_of(token), now)

    def record_answer(self, worker, token: int) -> None:
        """Record that the sender of an order has its answer."""
        now = self._clock.monotonic()
        worker.answered_at_by_claim.setdefault(self.claim_of(token), now)

    def record_end(self, worker, finished: fleet.FinishedTask) -> None:
        """Record that a worker lists an end from now on."""
        if finished.end in _COUNTED:
            self._ends_by_task[finished.task].append((worker, finished))

    def record_start(
        self, order: fleet.StartOrder, worker, sent_at: datetime.timedelta
    ) -> None:
        """Record a start that was sent at a time and has just begun."""
        known = self._ends_by_task.get(order.task, [])
        claim = self.claim_of(order.token)
        claimed_at = self._claimed_at.get(claim, sent_at)
        heard: collections.Counter[fleet.End] = collections.Counter()
        ends = []
        for other, finished in known:
            if finished not in other.finished:
                heard[finished.end] += 1
            elif other.is_reachable:
                worker_id = other.listing.address.worker_id
                reachable_at = max(other.reachable_since, claimed_at)
                if worker_id in self.distant_workers:
                    reachable_at = sent_at
                ends.append(
                    ListedEnd(
                        worker_id,
                        finished.run,
                        finished.end,
                        reachable_at,
                        other.answered_at_by_claim.get(claim),
                    )
                )
        if ends or heard:
            self.starts.append(
                StartBesideEnds(
                    order.task,
                    order.run,
                    worker.listing.address.worker_id,
                    claim,
                    sent_at,
                    heard[fleet.End.FAILED],
                    heard[fleet.End.DONE],
                    tuple(ends),
                )
            )


class Claims:
    """Find the claim that a fencing token belongs to.

    A holder raises its token for workers that have restarted.
    """

    def __init__(self, records: list[stores.Record]) -> None:
        """Read the claims from a stream's records, which may grow."""
        self._records = records
        self._names: dict[int, str] = {}

    def name_of(self, token: int) -> str:
        """Return the holder and the epoch of a token; empty without them."""
        if token not in self._names:
            self._names[token] = self._find_name(token)
        return self._names[token]

    def _find_name(self, token: int) -> str:
        for record in reversed(self._records[:token]):
            if record.key == ledger.CLAIM_KEY and record.value:
                claim = codec.decode_claim(record.value)
                return f"{claim.holder} {claim.epoch}"
        return ""

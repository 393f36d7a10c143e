"""Ask the advice service where steps may run, within what it can handle.

The service handles the calls of an instance one by one, and goes on with a
call that was given up. So its time is the budget: one call is under way, what
can start next comes first, and steps without room get half of the time.
"""

import dataclasses
import datetime

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import capacity as capacities
from cardamomcroft.scheduling import cluster_state
from cardamomcroft.scheduling import plans
from cardamomcroft.scheduling import runs

# A job's objective allows for one advice call per step, on 30 workers.
MAX_ADVISED_WORKERS = 30  # named in one call
# A call is late beyond twice its time, and network delays.
LATE_FACTOR = 2
LATE_MARGIN = datetime.timedelta(milliseconds=500)
# While calls are late, others follow after a pause that grows.
MIN_PAUSE = datetime.timedelta(milliseconds=200)
MAX_PAUSE = datetime.timedelta(milliseconds=1600)
MAX_OPEN_CALLS = 6  # of 32 that the service takes (protocol)
# The service works on; what it answers late is valid for a while.
CALL_TIMEOUT = datetime.timedelta(seconds=10)
_ZERO = datetime.timedelta()


@dataclasses.dataclass(eq=False, slots=True)
class _Call:
    """One call that has not been answered."""

    step: runs.StepState
    workers: list[runs.Worker]
    can_start: bool
    sent_at: datetime.timedelta
    late_at: datetime.timedelta


class Advising:
    """Choose the next call for advice, and apply the answers."""

    def __init__(
        self, cluster: cluster_state.ClusterState, link: fleet.WorkerLink
    ) -> None:
        """Ask over ``link`` on behalf of the steps of ``cluster``."""
        self._cluster = cluster
        self._link = link
        self._clock = cluster.clock
        self._wishes: list[plans.AdviceWish] = []
        self._calls_by_step: dict[runs.StepState, _Call] = {}
        self._pause = _ZERO
        self._next_at = _ZERO
        self._next_without_room_at = _ZERO

    def request(self, wishes: list[plans.AdviceWish]) -> None:
        """Replace what a round wants, the most urgent first; ask for it."""
        self._wishes = wishes
        self._send_next()

    def _send_next(self) -> None:
        """Send the next call if the service is free for one."""
        now = self._clock.monotonic()
        if now < self._next_at or not self._is_free(now):
            return
        for wish in self._in_order(now):
            if wish.step in self._calls_by_step or not _is_needed(wish.step):
                continue
            workers = self._workers_to_ask(wish, now)
            if workers:
                self._send(wish, workers, now)
                return

    def _is_free(self, now: datetime.timedelta) -> bool:
        """Return whether no call is under way but late ones."""
        calls = self._calls_by_step.values()
        return len(calls) < MAX_OPEN_CALLS and all(
            now >= call.late_at for call in calls
        )

    def _in_order(self, now: datetime.timedelta) -> list[plans.AdviceWish]:
        """Return the wishes, those of steps that could start now first."""
        ready = [wish for wish in self._wishes if wish.worker_ids]
        if now < self._next_without_room_at:
            return ready
        return ready + [wish for wish in self._wishes if not wish.worker_ids]

    def _workers_to_ask(
        self, wish: plans.AdviceWish, now: datetime.timedelta
    ) -> list[runs.Worker]:
        """Return the workers to name, of which too little is known."""
        step, workers_by_id = wish.step, self._cluster.workers_by_id
        ids = wish.worker_ids or self._emptiest(step, now)
        unknown = [
            worker
            for worker_id in ids
            if (worker := workers_by_id.get(worker_id))
            and _is_unknown(step, worker, now)
        ]
        return unknown[:MAX_ADVISED_WORKERS]

    def _emptiest(
        self, step: runs.StepState, now: datetime.timedelta
    ) -> list[str]:
        free_by_id = {
            worker.worker_id: free_worker.free.accelerators
            for worker in self._cluster.workers_by_id.values()
            if (free_worker := capacities.free_worker(worker, now))
            and free_worker.service == step.job.job.queue.service
        }
        return sorted(free_by_id, key=lambda name: -free_by_id[name])

    def _send(
        self,
        wish: plans.AdviceWish,
        workers: list[runs.Worker],
        now: datetime.timedelta,
    ) -> None:
        if self._calls_by_step:  # all of them are late
            self._back_off(now)
        terms = wish.step.job.job.queue.advice
        expected = terms.decision + terms.period * len(workers)
        call = _Call(
            wish.step,
            workers,
            bool(wish.worker_ids),
            now,
            now + expected * LATE_FACTOR + LATE_MARGIN,
        )
        if not call.can_start:
            self._next_without_room_at = now + expected * 2
        self._calls_by_step[wish.step] = call
        self._cluster.spawn(self._ask(call))

    async def _ask(self, call: _Call) -> None:
        advice = None
        born_by_id = {w.worker_id: w.born_ms for w in call.workers}
        name = str(call.step.key(0)).rpartition(".")[0]
        try:
            advice = await self._link.advise(
                name, tuple(born_by_id), CALL_TIMEOUT
            )
        finally:
            if self._calls_by_step.get(call.step) is call:
                del self._calls_by_step[call.step]
            now = self._clock.monotonic()
            # While a call is late, the calls that follow it are slowed down.
            if advice is None and now < call.late_at:
                self._back_off(now)
        self._log_call(name, call, advice, now)
        if advice is None:
            return
        self._pause, self._next_at = _ZERO, now
        self._forget_before(call)
        if not call.can_start:
            self._next_without_room_at = now + (now - call.sent_at)
        self._apply(call, advice, born_by_id, now)
        self._cluster.wake()
        self._send_next()

    def _forget_before(self, answered: _Call) -> None:
        """Forget earlier calls: the service handles them in turn.

        Their steps may be asked for again; an answer still counts.
        """
        self._calls_by_step = {
            step: call
            for step, call in self._calls_by_step.items()
            if call.sent_at >= answered.sent_at
        }

    def _apply(
        self,
        call: _Call,
        advice: fleet.Advice,
        born_by_id: dict[str, int],
        now: datetime.timedelta,
    ) -> None:
        """Keep the tickets, which were issued at an unknown time meanwhile.

        Of a late answer they are used for half of their time at least: the
        worker refuses one that has expired.
        """
        step = call.step
        until = max(call.sent_at + advice.valid, now + advice.valid / 2)
        for ticket in advice.tickets:
            step.tickets_by_worker[ticket.worker_id] = ticket.ticket, until
            born_by_id.pop(ticket.worker_id, None)
        step.barred_by_worker.update(born_by_id)

    def _back_off(self, now: datetime.timedelta) -> None:
        """Let the service rest: it is overloaded, slow or out of reach."""
        self._pause = min(max(self._pause * 2, MIN_PAUSE), MAX_PAUSE)
        self._next_at = now + self._pause

    def _log_call(
        self,
        name: str,
        call: _Call,
        advice: fleet.Advice | None,
        now: datetime.timedelta,
    ) -> None:
        self._cluster.log.emit(
            "advice_asked",
            step=name,
            workers=len(call.workers),
            allowed=None if advice is None else len(advice.tickets),
            outcome="unanswered" if advice is None else "answered",
            can_start=call.can_start,
            took_s=(now - call.sent_at).total_seconds(),
            late_calls=len(self._calls_by_step),
            waiting=len(self._wishes),
        )


def _is_needed(step: runs.StepState) -> bool:
    """Return whether the step still has tasks to start, with advice."""
    job = step.job
    if job.job.queue.advice is None:  # no longer
        return False
    return bool(step.waiting) and not (job.is_cancelled or job.final_state)


def _is_unknown(
    step: runs.StepState, worker: runs.Worker, now: datetime.timedelta
) -> bool:
    """Return whether advice on this life of a worker is missing."""
    has_ticket = step.has_ticket(worker.worker_id, now)
    return not (has_ticket or step.is_barred(worker))

"""Run the roles of one instance: follow, claim and schedule."""

import asyncio
import dataclasses
import datetime
import random
import typing

from cardamomcroft.evacuation import gate as gates
from cardamomcroft.ports import base
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from cardamomcroft.scheduling import candidate as candidates
from cardamomcroft.scheduling import cluster_state
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import configuration
from cardamomcroft.scheduling import directory as directories
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import journal as journals
from cardamomcroft.scheduling import lazy_modules
from cardamomcroft.scheduling import queue_terms
from cardamomcroft.scheduling import replica as replicas
from cardamomcroft.scheduling import runs
from cardamomcroft.scheduling import scheduler as schedulers

if typing.TYPE_CHECKING:
    from cardamomcroft.runtimes import stream as run_time_stream

# Bounds by how much a follower's replica lags behind the store.
FOLLOWER_POLL_PAUSE = datetime.timedelta(milliseconds=350)
RETRY_PAUSE = datetime.timedelta(milliseconds=150)
HOLDER_POLL_WAIT = datetime.timedelta(seconds=1)
HOLDER_POLL_PAUSE = datetime.timedelta(milliseconds=10)
# A store that does not answer must not delay a planned stop.
RELEASE_TIMEOUT = datetime.timedelta(seconds=1)
RUN_NUMBERS_PER_TERM = runs.RUN_NUMBERS_PER_TERM
_ZERO = datetime.timedelta()
_NO_QUEUES: queue_terms.QueuesByName = {}


class Node:
    """Follow the job stream; run the scheduler while holding the claim."""

    def __init__(
        self,
        holder: str,
        target: store.Store,
        link: fleet.WorkerLink,
        clock: base.Clock,
        log: events.Events,
        decode_listing: directories.Decoder,
        parameters: cluster_state.SchedulingParameters,
        rng: random.Random,
        rank: candidates.Rank,
        gate: gates.Gate | None = None,
    ) -> None:
        """Assemble the components; ``run`` starts them.

        Starts have to pass the gate, if one is given.
        """
        self._store = target
        self._link = link
        self._clock = clock
        self._log = log
        self._decode_listing = decode_listing
        self._parameters = parameters
        self._gate = gate or gates.Gate()
        self.replica = replicas.Replica(target, clock, log)
        self.replica.on_updates = self._apply_updates
        self._candidate = candidates.Candidate(
            holder, target, self.replica, clock, log, rng, rank
        )
        # The instance's copy of what the scheduler has learned.
        self.run_times: run_time_stream.View | None = None
        if parameters.learns_run_times:
            stream = lazy_modules.load("cardamomcroft.runtimes.stream")
            self.run_times = stream.View(target, clock, log)
        self.scheduler: schedulers.Scheduler | None = None
        self._scheduler_task: asyncio.Task | None = None
        self._used_epochs: set[int] = set()
        self._is_stopping = False
        self.configuration: configuration.Configuration | None = None

    def _apply_updates(self, updates) -> None:
        if self.scheduler:
            self.scheduler.apply_updates(updates)

    def _guarantees(self) -> dict[str, int]:
        if self.configuration is None:
            return {}
        accounts = self.configuration.accounts_by_name
        return {
            name: account.guaranteed_accelerators
            for name, account in accounts.items()
        }

    def _queues(self) -> queue_terms.QueuesByName:
        config = self.configuration
        return _NO_QUEUES if config is None else config.queues_by_name

    async def run(self) -> None:
        """Follow the stream until cancelled; claim the role when vacant.

        A leaving instance claims nothing but still answers from its copy.
        """
        while True:
            is_holder = self.scheduler is not None
            wait = HOLDER_POLL_WAIT if is_holder else _ZERO
            answered = await self.replica.update(wait)
            self._check_claim()
            if not answered:
                await self._clock.sleep(RETRY_PAUSE)
            elif self.scheduler is not None:
                await self._clock.sleep(HOLDER_POLL_PAUSE)
            elif self.replica.is_behind:
                continue
            elif not self._is_stopping and self._candidate.is_vacant():
                await self._candidate.claim()
            else:
                await self._clock.sleep(FOLLOWER_POLL_PAUSE)

    def _check_claim(self) -> None:
        claim = self._candidate.own_claim()
        if self.scheduler is not None:
            if claim is None:
                self.scheduler.journal.lose_claim("superseded")
            return
        if self._is_stopping:
            return
        if claim is not None and claim.epoch not in self._used_epochs:
            self._used_epochs.add(claim.epoch)
            self._start_scheduler(claim)

    def _start_scheduler(self, claim: codec.Claim) -> None:
        journal = journals.Journal(self._store, self._clock, claim, self._log)
        # An answer or a read may have been late; others count from the record.
        journal.confirmed_at = self._candidate.claim_sent_at(claim)
        directory = directories.Directory(
            self._store, self._clock, self._log, self._decode_listing
        )
        parameters = dataclasses.replace(
            self._parameters, run_base=(claim.term - 1) * RUN_NUMBERS_PER_TERM
        )
        self.scheduler = schedulers.Scheduler(
            self.replica,
            journal,
            directory,
            self._link,
            self._clock,
            self._log,
            parameters,
            self._guarantees,
            self._queues,
            self._candidate.inherited_leases(parameters),
            self._gate,
        )
        if self.run_times is not None:
            stream = lazy_modules.load("cardamomcroft.runtimes.stream")
            self.scheduler.learning = stream.Learning(
                self._store,
                self._clock,
                self._log,
                self.scheduler.cluster,
                self.run_times,
            )
        self._scheduler_task = asyncio.ensure_future(self._run_scheduler())

    async def _run_scheduler(self) -> None:
        scheduler = self.scheduler
        try:
            await scheduler.run()
        except Exception as error:
            self._log.emit("scheduler_crashed", error=repr(error))
            scheduler.journal.lose_claim("crashed")
            raise
        finally:
            self.scheduler = None

    async def close(self) -> None:
        """Cancel the scheduler and its tasks."""
        if self._scheduler_task is not None:
            self._scheduler_task.cancel()
            await asyncio.gather(self._scheduler_task, return_exceptions=True)

    async def stop(self) -> None:
        """Release the claim, if the store answers, and claim no more."""
        self._is_stopping = True
        if self.scheduler is None:
            return
        released = self.scheduler.journal.release()
        if not await clocks.within(self._clock, RELEASE_TIMEOUT, released):
            self._log.emit("handover_failed", reason="store unavailable")

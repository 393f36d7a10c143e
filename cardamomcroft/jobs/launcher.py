"""Launch gangs in the background and record the outcomes."""

import asyncio
import collections.abc
import datetime

import structlog

from cardamomcroft.jobs import dependencies as bundles
from cardamomcroft.jobs import former as formers
from cardamomcroft.jobs import launch as launches
from cardamomcroft.log import appender as appenders
from cardamomcroft.log import records
from cardamomcroft.policy import base as policies
from cardamomcroft.ports import messages
from cardamomcroft.state import models

RETRY_DELAY = datetime.timedelta(milliseconds=500)  # after a failed launch


class Launcher:
    """Run launches concurrently and delay the retries of failed ones."""

    def __init__(
        self,
        dependencies: bundles.Dependencies,
        former: formers.FormerAttempts,
    ) -> None:
        """Launch jobs of whose ``former`` attempts no results arrive."""
        self._dependencies = dependencies
        self._former = former
        self._by_job: dict[str, launches.Launch] = {}
        self._attempts: dict[str, int] = {}
        self._retry_at: dict[str, datetime.timedelta] = {}
        self._logger = structlog.get_logger()

    @property
    def job_ids(self) -> collections.abc.Set[str]:
        """Return the jobs that are being launched."""
        return self._by_job.keys()

    def launching_gangs(self) -> list[policies.RunningGang]:
        """Return the launches as gangs that occupy their cells."""
        now = self._dependencies.clock.now()
        return [
            policies.RunningGang(
                launch.job.job_id,
                launch.job.account,
                launch.job.caller,
                launch.job.spec,
                launch.placements,
                now,
            )
            for launch in self._by_job.values()
        ]

    def is_backing_off(self, job_id: str) -> bool:
        """Return whether a failed launch of the job delays its retry."""
        retry_at = self._retry_at.get(job_id)
        if retry_at is None:
            return False
        if self._dependencies.clock.monotonic() < retry_at:
            return True
        del self._retry_at[job_id]
        return False

    def backing_off(self) -> frozenset[str]:
        """Return the jobs whose retry a failed launch delays."""
        return frozenset(filter(self.is_backing_off, tuple(self._retry_at)))

    def begin(
        self, job: models.Job, token: int, start: policies.GangStart
    ) -> None:
        """Launch a job in the background."""
        launch = launches.Launch(
            job,
            self._next_attempt(job, token),
            token,
            start.placements,
            self._dependencies.workers,
            self._dependencies.clock,
            self._dependencies.timing,
            lambda: self._may_start(job),
            self._dependencies.health.record_unreachable,
            self._dependencies.confirm,
            lambda: self._former.ask_again(job, token),
        )
        self._by_job[job.job_id] = launch
        self._dependencies.background.spawn(self._run(launch, token))

    def _next_attempt(self, job: models.Job, token: int) -> int:
        attempt = 1 + max(
            job.attempt,
            self._attempts.get(job.job_id, 0),
            launches.attempt_base(token),
        )
        self._attempts[job.job_id] = attempt
        return attempt

    def _may_start(self, job: models.Job) -> bool:
        has_results = self._former.has_finished(job)
        return self._dependencies.may_act() and not has_results

    async def _run(self, launch: launches.Launch, token: int) -> None:
        job_id = launch.job.job_id
        try:
            silent = await self._former.ask(launch.job, token)
            if self._record_own_results(job_id, token):
                return
            result = _avoid(launch, silent) or await launch.run()
            self._logger.info(
                "gang_launch",
                job_id=job_id,
                attempt=launch.attempt,
                outcome=result.outcome.value,
                detail=result.detail,
            )
            if result.outcome is launches.LaunchOutcome.RUNNING:
                self._record_start(launch, token)
            else:
                self._record_failure(launch, token, result)
                self._record_own_results(job_id, token)
        finally:
            del self._by_job[job_id]

    def record_results(
        self, job_ids: collections.abc.Iterable[str], token: int
    ) -> None:
        """Record the results of queued jobs' former attempts, if complete.

        A launch that has begun records them itself or starts the job.
        """
        jobs = self._dependencies.overlay.state().jobs
        for job_id in job_ids:
            if job_id not in self._by_job:
                self._record_results(jobs.get(job_id), token)

    def _record_own_results(self, job_id: str, token: int) -> bool:
        """Return whether the results for a launch were complete."""
        # Nothing pending starts or ends a job that is being launched.
        job = self._dependencies.replica.state.jobs.get(job_id)
        return self._record_results(job, token)

    def _record_results(self, job: models.Job | None, token: int) -> bool:
        """Return whether the results were complete and are recorded.

        All versions fold them as an attempt that began and ended: an end of
        a settled attempt would change nothing.
        """
        if job is None or job.phase is not models.Phase.QUEUED:
            return False
        if not self._former.has_finished(job):
            return False
        if not self._dependencies.may_act():
            return False
        attempt = self._next_attempt(job, token)
        del self._attempts[job.job_id]
        self._logger.info(
            "results_recovered",
            job_id=job.job_id,
            attempt=job.former.attempt,
        )
        for body in formers.result_records(job, attempt, token):
            self._dependencies.appender.submit(body, appenders.Priority.START)
        self._dependencies.metrics.increment("scheduler.recovered")
        return True

    def _record_start(self, launch: launches.Launch, token: int) -> None:
        self._attempts.pop(launch.job.job_id, None)
        for placement in launch.placements:
            self._dependencies.health.record_reachable(placement.worker_id)
        body = records.GangStarted(
            launch.job.job_id, launch.attempt, token, launch.placements
        )
        future = self._dependencies.appender.submit(
            body, appenders.Priority.START
        )
        future.add_done_callback(
            lambda done: self._stop_if_refused(launch, done)
        )
        self._dependencies.metrics.increment("scheduler.started")

    def _stop_if_refused(
        self, launch: launches.Launch, done: asyncio.Future
    ) -> None:
        """Stop a gang whose start record the fold has rejected."""
        if done.cancelled() or done.result().accepted:
            return
        if not self._dependencies.holds_claim():
            return  # the new owner adopts or stops the gang
        is_repeated = done.result().reason == models.REPEATED_RECORD
        if is_repeated and self._is_recorded(launch):
            return  # the replica loaded a snapshot with the first copy
        self._logger.warning(
            "start_refused",
            job_id=launch.job.job_id,
            reason=done.result().reason,
        )
        self._dependencies.background.spawn(self._stop_refused(launch))

    def _is_recorded(self, launch: launches.Launch) -> bool:
        job = self._dependencies.replica.state.jobs.get(launch.job.job_id)
        return job is not None and job.attempt == launch.attempt

    async def _stop_refused(self, launch: launches.Launch) -> None:
        claim = self._dependencies.replica.state.claims[
            self._dependencies.region
        ]
        job_id, attempt = launch.job.job_id, launch.attempt
        await asyncio.gather(
            *(
                self._dependencies.stop_until_confirmed(
                    placement.worker_id,
                    messages.Stop(
                        messages.TaskId(job_id, attempt, member),
                        claim.epoch,
                        incarnation=placement.incarnation,
                    ),
                )
                for member, placement in enumerate(launch.placements)
            )
        )

    def _record_failure(
        self,
        launch: launches.Launch,
        token: int,
        result: launches.LaunchResult,
    ) -> None:
        self._dependencies.metrics.increment("scheduler.missed")
        if result.worker_id:
            self._dependencies.health.record_unreachable(result.worker_id)
        now = self._dependencies.clock.monotonic()
        self._retry_at[launch.job.job_id] = now + RETRY_DELAY
        if result.outcome is launches.LaunchOutcome.FAILED:
            body = records.AttemptSettled(
                launch.job.job_id,
                launch.attempt,
                token,
                f"start failed on {result.worker_id}: {result.detail}",
            )
            self._dependencies.appender.submit(body, appenders.Priority.START)


def _avoid(
    launch: launches.Launch, silent: frozenset[str]
) -> launches.LaunchResult | None:
    """Return the failure of a launch on a worker that is silent now."""
    for placement in launch.placements:
        if placement.worker_id in silent:
            return launches.LaunchResult(
                launches.LaunchOutcome.RELEASED,
                placement.worker_id,
                "no answer about the former attempt",
            )
    return None

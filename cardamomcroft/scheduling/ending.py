"""End cancelled and completed jobs, and drop the records of old ones."""

import datetime

from cardamomcroft.scheduling import cluster_state
from cardamomcroft.scheduling import expiry
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import orders as order_senders
from cardamomcroft.scheduling import replica as replicas
from cardamomcroft.scheduling import runs


class Ending:
    """Jobs that end, until their records are dropped."""

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        orders: order_senders.OrderSender,
        replica: replicas.Replica,
    ) -> None:
        """Stop the runs of ended jobs through ``orders``."""
        self._cluster = cluster
        self._orders = orders
        self._replica = replica
        retention = cluster.parameters.retention
        self._expiry = expiry.Expiry(retention)
        # Not dropped at once: a late submission may still follow its
        # cancellation.
        self._leftovers = expiry.Expiry(retention)

    def record_ended(self, job_id: str, ended_at: datetime.datetime) -> None:
        """Record a job whose end is in the store."""
        self._expiry.record_ended(job_id, ended_at)

    def record_leftovers(self) -> None:
        """Record the ids whose records have lost their submission."""
        for job_id in self._replica.ledger.leftover_ids():
            self.record_leftover(job_id)

    def record_leftover(self, job_id: str) -> None:
        """Record an id that has records but no submission."""
        now = self._cluster.clock.now()
        cancellation = self._replica.ledger.unmatched.get(job_id)
        if cancellation is None or cancellation.requested_at is None:
            self._leftovers.record_ended(job_id, now)
            return
        requested_at = datetime.datetime.fromtimestamp(
            cancellation.requested_at, datetime.UTC
        )
        # Of another instance's clock, which may be ahead.
        self._leftovers.record_ended(job_id, min(requested_at, now))

    def end_jobs(self) -> None:
        """End the jobs that are over; one that fails is tried again."""
        for job_id, job in list(self._cluster.jobs_by_id.items()):
            try:
                self._end_job(job_id, job)
            except Exception as error:
                self._cluster.failures.report(
                    "job_ending_failed", job_id, repr(error)
                )

    def _end_job(self, job_id: str, job: runs.JobState) -> None:
        if job.is_cancelled and not job.final_state:
            self._cancel(job_id, job)
        elif job.is_done and not job.final_state:
            self._complete_empty(job)
        if job.final_state:
            self._stop_remaining_runs(job)
            if not job.runs:
                del self._cluster.jobs_by_id[job_id]
                self._replica.ledger.jobs_by_id.forget_value(job_id)
                self._expiry.record_ended(job_id, self._cluster.clock.now())

    def _cancel(self, job_id: str, job: runs.JobState) -> None:
        job.final_state = "cancelled"
        try:
            self._cluster.stage_progress(job)
        except Exception:
            job.final_state = ""
            raise
        self._cluster.log.emit("job_cancelled", job_id=job_id)
        self._cluster.spawn(self._cluster.report_durable_end(job))

    def _complete_empty(self, job: runs.JobState) -> None:
        """Complete a job without tasks, of which no end will be listed."""
        job.final_state = "completed"
        try:
            self._cluster.stage_progress(job)
        except Exception:
            job.final_state = ""
            raise
        self._cluster.spawn(self._cluster.report_durable_end(job))

    def _stop_remaining_runs(self, job: runs.JobState) -> None:
        for run in job.runs:
            # The members of a gang that is done end by themselves.
            if not run.step.is_done:
                self._orders.stop(run, job.final_state)

    def delete_expired_records(self) -> None:
        """Delete the records of jobs that ended long ago."""
        now = self._cluster.clock.now()
        self._delete_records(self._expiry.pop_due(now), ledgers.JOB_KINDS)
        jobs_by_id = self._replica.ledger.jobs_by_id
        leftovers = [
            job_id
            for job_id in self._leftovers.pop_due(now)
            if job_id not in jobs_by_id
        ]
        # A submission may be accepted at this very moment.
        self._delete_records(leftovers, ledgers.LEFTOVER_KINDS)

    def _delete_records(
        self, job_ids: list[str], kinds: tuple[ledgers.Kind, ...]
    ) -> None:
        for job_id in job_ids:
            for kind in kinds:
                self._cluster.journal.stage(kind.key(job_id), None)
        if job_ids:
            self._cluster.log.emit(
                "jobs_dropped", count=len(job_ids), job_ids=job_ids
            )

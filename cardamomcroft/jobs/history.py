"""Estimate run times from the completed jobs in the log."""

from cardamomcroft.log import records
from cardamomcroft.log import replica as replicas
from cardamomcroft.policy import estimates
from cardamomcroft.state import models


class RunHistory:
    """Update the run-time estimates whenever a job completes."""

    def __init__(self, replica: replicas.Replica) -> None:
        """Observe the records that the replica folds."""
        self.estimates = estimates.Estimates()
        self._replica = replica
        replica.observe(self._observe)

    def _observe(
        self, record: records.Record, applied: models.Applied
    ) -> None:
        body = record.body
        if not applied.accepted or not isinstance(body, records.TasksEnded):
            return
        for job_id in {end.task.job_id for end in body.ends}:
            job = self._replica.state.jobs.get(job_id)
            if job is None or job.results_of:
                continue  # nobody saw when the attempt ended
            if job.phase is models.Phase.COMPLETED:
                ran = record.at - job.started_at
                self.estimates = self.estimates.observe(
                    job.account,
                    job.spec,
                    ran.total_seconds() + job.checkpoint_s,
                )

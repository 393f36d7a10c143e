"""Learn from the log how long jobs really ran."""

from cardamomcroft.log import records
from cardamomcroft.log import replica as replicas
from cardamomcroft.policy import estimates
from cardamomcroft.state import models


class RunHistory:
    """Keep the estimates that completed runs support."""

    def __init__(self, replica: replicas.Replica) -> None:
        """Watch the replica."""
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
            if job is not None and job.phase is models.Phase.COMPLETED:
                ran = record.at - job.started_at
                self.estimates = self.estimates.observe(
                    job.account,
                    job.spec,
                    ran.total_seconds() + job.checkpoint_s,
                )

"""Enforce quotas of accelerators, with backfill; a baseline."""

import collections

from cardamomcroft.policy import base
from cardamomcroft.policy import fifo


class Quota(base.Policy):
    """Start jobs within their account's quota first, then the others.

    Quotas count accelerators, not cell shapes. Jobs start in order of
    arrival wherever they fit, and nothing is reclaimed.
    """

    name = "quota"

    def decide(self, view: base.View) -> base.Decision:
        """Start the jobs that fit, first those within their quota."""
        free = fifo.free_masks(view)
        used: collections.Counter[str] = collections.Counter()
        for gang in view.running:
            used[gang.account] += accelerators_of(gang.spec)
        quota = {
            account: sum(
                cell.accelerators * cell.count for cell in terms.guarantee
            )
            for account, terms in view.accounts.items()
        }
        starts = []
        cells_examined = 0
        for is_within in (True, False):
            for job in view.waiting:
                wanted = used[job.account] + accelerators_of(job.spec)
                fits_quota = wanted <= quota.get(job.account, 0)
                if fits_quota != is_within or _is_started(job, starts):
                    continue
                if not any(free.values()):
                    break
                cells_examined += len(view.workers)
                placements = fifo.place(job.spec, view.workers, free)
                if placements:
                    fifo.occupy(free, placements)
                    used[job.account] = wanted
                    starts.append(base.GangStart(job.job_id, placements))
        return base.Decision(
            tuple(starts),
            cells_examined=cells_examined,
            jobs_examined=len(view.waiting),
        )

    def infeasibility_reason(self, spec, account, workers) -> str | None:
        """Return why the job can never run, or None if it can."""
        return fifo.infeasibility_reason(spec, workers)


def accelerators_of(spec) -> int:
    """Return the accelerators of a whole gang."""
    return spec.members * spec.accelerators


def _is_started(job: base.WaitingJob, starts: list[base.GangStart]) -> bool:
    return any(start.job_id == job.job_id for start in starts)

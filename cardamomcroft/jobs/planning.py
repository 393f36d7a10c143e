"""Plan a region's jobs although the policy raises for some of them."""

import collections.abc
import dataclasses
import datetime

import structlog

from cardamomcroft.policy import base as policies
from cardamomcroft.ports import base

RETRY_PERIOD = datetime.timedelta(seconds=10)  # until a job is planned again


class Planner:
    """Run the policy without the jobs for which it raises."""

    def __init__(self, policy: policies.Policy, clock: base.Clock) -> None:
        """Plan with the policy; at first no job is left out."""
        self._policy = policy
        self._clock = clock
        self._left_out_until: dict[str, datetime.timedelta] = {}
        self._logger = structlog.get_logger()

    def decide(self, view: policies.View) -> policies.Decision:
        """Return the policy's decision on the jobs that can be planned."""
        now = self._clock.monotonic()
        self._left_out_until = {
            job_id: until
            for job_id, until in self._left_out_until.items()
            if now < until
        }
        view = _without(view, self._left_out_until)
        try:
            return self._policy.decide(view)
        except Exception as error:
            raising = self._find_raising(view)
            if len(raising) == len(view.waiting):
                raise  # the cause is common to all jobs
            self._leave_out(raising, repr(error))
            return self._policy.decide(_without(view, raising))

    def _find_raising(self, view: policies.View) -> set[str]:
        """Halve the waiting jobs until the ones that raise are alone."""
        try:
            self._policy.decide(view)
        except Exception:
            if len(view.waiting) <= 1:
                return {job.job_id for job in view.waiting}
            middle = len(view.waiting) // 2
            halves = view.waiting[:middle], view.waiting[middle:]
            return set().union(
                *(
                    self._find_raising(dataclasses.replace(view, waiting=half))
                    for half in halves
                )
            )
        return set()

    def _leave_out(self, job_ids: set[str], error: str) -> None:
        until = self._clock.monotonic() + RETRY_PERIOD
        for job_id in job_ids:
            self._logger.error("job_not_planned", job_id=job_id, error=error)
            self._left_out_until[job_id] = until


def _without(
    view: policies.View, job_ids: collections.abc.Container[str]
) -> policies.View:
    waiting = tuple(job for job in view.waiting if job.job_id not in job_ids)
    return dataclasses.replace(view, waiting=waiting)

"""Attribute failed runs to workers or to jobs, without I/O or clocks."""

import collections
import itertools

# Names a step in all its occurrences: their tasks fail for the same causes.
StepName = tuple[str, int]  # the job's id, the step's number
MAX_STEPS = 2_000
# A step that fails on so many workers that fail nothing else is to blame.
MIN_SOUND_WORKERS = 2
MAX_EXAMINED_WORKERS = 64  # of a step, those on which it failed last


class Blame:
    """Weigh failures of several steps on a worker against those of one.

    A failure counts against its worker, unless its step has also failed on
    workers that have failed no other step since their last success. Then the
    step is to blame, and counts on each worker by the share of its failures
    there.
    """

    def __init__(self) -> None:
        """Start without failures."""
        # By step and worker, the latest last; also after a success there.
        self._counts_by_step: collections.OrderedDict[
            StepName, collections.OrderedDict[str, int]
        ] = collections.OrderedDict()
        # Since the last success there.
        self._counts_by_worker: dict[str, collections.Counter[StepName]] = {}

    def record_failure(self, worker_id: str, step: StepName) -> None:
        """Count a failed run."""
        counts = self._counts_by_step.setdefault(
            step, collections.OrderedDict()
        )
        counts[worker_id] = counts.get(worker_id, 0) + 1
        counts.move_to_end(worker_id)
        self._counts_by_step.move_to_end(step)
        on_worker = self._counts_by_worker.setdefault(
            worker_id, collections.Counter()
        )
        on_worker[step] += 1
        if len(self._counts_by_step) > MAX_STEPS:
            self._forget(next(iter(self._counts_by_step)))

    def _forget(self, step: StepName) -> None:
        for worker_id in self._counts_by_step.pop(step):
            self._counts_by_worker.get(worker_id, {}).pop(step, None)

    def record_success(self, worker_id: str) -> None:
        """Forget the failures on a worker: it can run tasks."""
        self._counts_by_worker.pop(worker_id, None)

    def is_to_blame(self, step: StepName) -> bool:
        """Return whether a step fails by itself."""
        recent = itertools.islice(
            reversed(self._counts_by_step.get(step, {})), MAX_EXAMINED_WORKERS
        )
        sound = (
            worker_id
            for worker_id in recent
            if self._counts_by_worker.get(worker_id, {}).keys() <= {step}
        )
        return len(list(itertools.islice(sound, MIN_SOUND_WORKERS))) == (
            MIN_SOUND_WORKERS
        )

    def has_failed(self, worker_id: str) -> bool:
        """Return whether a run has failed since the last success."""
        return bool(self._counts_by_worker.get(worker_id))

    def weight(self, worker_id: str) -> float:
        """Return how many failures count against a worker."""
        return sum(
            self._share(worker_id, step) if self.is_to_blame(step) else count
            for step, count in self._counts_by_worker.get(
                worker_id, {}
            ).items()
        )

    def _share(self, worker_id: str, step: StepName) -> float:
        counts = self._counts_by_step[step]
        return counts[worker_id] / sum(counts.values())

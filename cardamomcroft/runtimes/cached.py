"""Keep estimates until their kinds have got new evidence.

Load: rounds that ask for the times of thousands of runs of some hundred steps.
"""

import collections
import collections.abc
import dataclasses
import typing

from cardamomcroft.runtimes import histogram
from cardamomcroft.runtimes import kinds
from cardamomcroft.scheduling import models

# Share of new evidence of a kind, and number of its runs, from which on its
# estimates are made again. A change has to show within ten runs.
MIN_NEW_SHARE = 0.1
MAX_NEW_RUNS = 4.0
MAX_CACHED = 4_096  # about 4 MB
_MAX_REVISIONS = 4 * kinds.MAX_KINDS
_DECLARED_PARTS = 8  # of a bucket, in which declared times are told apart


class Cache:
    """Evidence and the estimates made from it."""

    def __init__(self) -> None:
        self._known = kinds.Kinds()
        self._revisions: collections.Counter[kinds.Key] = collections.Counter()
        self._new_weights: collections.Counter[kinds.Key] = (
            collections.Counter()
        )
        self._by_name: dict[collections.abc.Hashable, tuple] = {}
        # By account, queue and step, until any kind has got new evidence.
        self._latest: dict[tuple[str, str, int], tuple] = {}

    @property
    def known(self) -> kinds.Kinds:
        """Return all evidence."""
        return self._known

    def replace(self, known: kinds.Kinds) -> None:
        """Replace all evidence."""
        self._known = known
        self._revisions.clear()
        self._new_weights.clear()
        self._by_name.clear()
        self._latest.clear()

    def update(
        self, known: kinds.Kinds, subject: kinds.Subject, weight: float
    ) -> None:
        """Set the evidence after a run of this weight."""
        if len(self._revisions) > _MAX_REVISIONS:
            self.replace(known)
        self._known = known
        for key in (*subject.keys(), subject.declared_key):
            self._new_weights[key] += weight
            kind = known.by_key.get(key)
            limit = kind.weight * MIN_NEW_SHARE if kind else 0.0
            if self._new_weights[key] >= min(limit, MAX_NEW_RUNS):
                self._revisions[key] += 1
                self._new_weights[key] = 0.0
                self._latest.clear()

    def weight(self, key: kinds.Key) -> float:
        """Return how many recent steps of a kind are known."""
        kind = self._known.by_key.get(key)
        if kind is None:
            return 0.0
        return self._cached(key, (key,), lambda: kind.weight)

    def distribution(
        self, job: models.Job, step: models.Step
    ) -> histogram.Distribution | None:
        """Return the distribution of a step's run times."""
        name = job.account, job.queue.name, id(step)
        latest = self._latest.get(name)
        if latest is not None and latest[0] is step:
            return latest[1]
        if len(self._latest) >= MAX_CACHED:
            self._latest.clear()
        found = self._estimate(kinds.subject_of(job, step))
        self._latest[name] = step, found
        return found

    def _estimate(
        self, subject: kinds.Subject
    ) -> histogram.Distribution | None:
        if subject.declared_s > 0:
            place = histogram.position_of(subject.declared_s)
            rounded = round(place * _DECLARED_PARTS) / _DECLARED_PARTS
            subject = dataclasses.replace(
                subject, declared_s=histogram.seconds_at(rounded)
            )
        keys = subject.keys()
        named = dataclasses.replace(subject, declared_s=0.0)
        known = self._cached(
            ("learned", named), keys, lambda: self._known.learned(named)
        )
        declared_key = subject.declared_key
        ratios = self._cached(
            declared_key,
            (declared_key,),
            lambda: self._known.declared_ratios(subject),
        )
        return self._cached(
            subject,
            (*keys, declared_key),
            lambda: kinds.given_declared(known, ratios, subject),
        )

    def _cached(
        self,
        name: collections.abc.Hashable,
        keys: tuple[kinds.Key, ...],
        compute: collections.abc.Callable[[], typing.Any],
    ) -> typing.Any:
        """Return what was computed from the same evidence."""
        revisions = tuple(self._revisions[key] for key in keys)
        cached = self._by_name.get(name)
        if cached is not None and cached[0] == revisions:
            return cached[1]
        found = compute()
        if len(self._by_name) >= MAX_CACHED:
            self._by_name.clear()
        self._by_name[name] = revisions, found
        return found

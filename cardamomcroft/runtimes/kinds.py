"""Order the evidence by kind of run, from the narrowest to the widest.

A kind with few runs of its own leans on the next wider one, and the widest on
the declared time.
"""

import collections
import dataclasses

import immutables

from cardamomcroft.runtimes import histogram
from cardamomcroft.scheduling import models

MAX_KINDS = 256
# A client that invents images or demands replaces its own kinds, not those of
# others.
MAX_KINDS_PER_ACCOUNT = 64
MAX_ACCOUNTS_PER_KIND = 40  # over the 36 teams of the two-year size
# Runs that the next wider kind counts for; as many own ones count for half.
PARENT_WEIGHT = 4.0
# Standard deviation of log(actual / declared) before any is measured: a time
# declared wrong by half is common.
DECLARED_SPREAD = 0.7
# A single wrong unit or an end at once must not make all of an account's
# declared times look useless.
MAX_DECLARED_RATIO = 30.0
_DECLARED_WEIGHT = 3.0  # runs that this assumption counts for
# Share of the runs about which a declared time says nothing, as those that
# take seven times as long; spread over as many buckets as a factor of 400.
_MISLEADING_SHARE = 0.05
_MISLEADING_PART = _MISLEADING_SHARE / 35

Key = tuple[str, ...]
LEAF, IMAGE, SHAPE, QUEUE, DECLARED = "leaf", "image", "shape", "queue", "decl"


@dataclasses.dataclass(frozen=True, slots=True)
class Subject:
    """What is known of a run before it begins."""

    account: str
    queue: str
    shape: str
    image: str
    declared_s: float

    def keys(self) -> tuple[Key, ...]:
        """Return the kinds of the run, the narrowest first."""
        return (
            (LEAF, self.account, self.queue, self.shape, self.image),
            (IMAGE, self.queue, self.image),
            (SHAPE, self.queue, self.shape),
            (QUEUE, self.queue),
        )

    @property
    def declared_key(self) -> Key:
        """Return the kind of the account's errors in declared times."""
        return (DECLARED, self.account)


def subject_of(job: models.Job, step: models.Step) -> Subject:
    """Return the subject of a step's runs."""
    demand = step.demand
    shape = (
        f"{demand.milli_cores}/{demand.memory_mb}/{demand.accelerators}"
        f"{'/gang' if step.is_gang else ''}"
    )
    return Subject(
        job.account,
        job.queue.name,
        shape,
        step.image,
        step.estimate.total_seconds(),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """Evidence about one kind of run, by account."""

    owner: str  # the account that it counts for
    by_account: immutables.Map[str, histogram.Histogram] = dataclasses.field(
        default_factory=immutables.Map
    )
    touched: int = 0  # number of the newest observation

    @property
    def weight(self) -> float:
        """Return how many recent runs the evidence stands for."""
        return sum(known.weight for known in self.by_account.values())

    def update(
        self, account: str, known: histogram.Histogram, touched: int
    ) -> "Kind":
        """Return the kind with an account's evidence replaced."""
        by_account = self.by_account
        if account not in by_account and (
            len(by_account) >= MAX_ACCOUNTS_PER_KIND
        ):
            lightest = min(by_account, key=lambda a: by_account[a].weight)
            by_account = by_account.delete(lightest)
        return Kind(self.owner, by_account.set(account, known), touched)

    def evidence(
        self, reader: str
    ) -> tuple[histogram.Weights, histogram.Weights]:
        """Return the evidence for an account's estimate.

        That of any other account counts for at most half of what the rest
        share.
        """
        weights = {a: known.weight for a, known in self.by_account.items()}
        total = sum(weights.values())
        done: dict[int, float] = collections.defaultdict(float)
        bounds: dict[int, float] = collections.defaultdict(float)
        for account, known in self.by_account.items():
            limit = (PARENT_WEIGHT + total - weights[account]) / 2
            factor = 1.0
            if account != reader and weights[account] > limit:
                factor = limit / weights[account]
            for bucket, weight in known.done:
                done[bucket] += weight * factor
            for bucket, weight in known.bounds:
                bounds[bucket] += weight * factor
        return tuple(sorted(done.items())), tuple(sorted(bounds.items()))


@dataclasses.dataclass(frozen=True, slots=True)
class Learned:
    """What the kinds of a run tell, without its declared time."""

    times: histogram.Distribution
    finished: float  # weight of the finished runs behind it
    weight: float  # of all runs behind it


@dataclasses.dataclass(frozen=True, slots=True)
class Kinds:
    """All kinds; a value that each observation replaces."""

    by_key: immutables.Map[Key, Kind] = dataclasses.field(
        default_factory=immutables.Map
    )
    count: int = 0  # observations so far

    def observe(
        self, subject: Subject, actual_s: float, weight: float
    ) -> "Kinds":
        """Return the kinds with a finished run."""
        found = self
        for key in subject.keys():
            known = found._evidence(key, subject.account)
            found = found._put(
                key, subject.account, known.add(actual_s, weight)
            )
        if subject.declared_s <= 0:
            return found
        known = found._evidence(subject.declared_key, subject.account)
        ratio = actual_s / subject.declared_s
        ratio = min(max(ratio, 1 / MAX_DECLARED_RATIO), MAX_DECLARED_RATIO)
        return found._put(
            subject.declared_key, subject.account, known.add(ratio, weight)
        )

    def observe_stopped(
        self, subject: Subject, ran_s: float, weight: float
    ) -> "Kinds":
        """Return the kinds with a run that was stopped at work."""
        found = self
        for key in subject.keys():
            known = found._evidence(key, subject.account)
            found = found._put(
                key, subject.account, known.add_bound(ran_s, weight)
            )
        return found

    def estimate(self, subject: Subject) -> histogram.Distribution | None:
        """Return the run time's distribution; None if nothing is known."""
        return given_declared(
            self.learned(subject), self.declared_ratios(subject), subject
        )

    def learned(self, subject: Subject) -> Learned | None:
        """Return what the kinds tell, whatever is declared."""
        known: histogram.Distribution | None = None
        finished = weight = 0.0
        wider = None
        for key in reversed(subject.keys()):
            kind = self.by_key.get(key)
            if kind is None:
                continue
            done, bounds = evidence = kind.evidence(subject.account)
            if evidence == wider:
                continue  # the same runs must not count twice
            wider = evidence
            part = sum(each for _, each in done)
            finished = max(finished, part)
            weight = max(weight, part + sum(each for _, each in bounds))
            if known is not None:
                prior = tuple((b, s * PARENT_WEIGHT) for b, s in known.shares)
                done = histogram.add_weights(done, prior)
            known = histogram.distribution(done, bounds) or known
        return Learned(known, finished, weight) if known else None

    def declared_ratios(self, subject: Subject) -> histogram.Distribution:
        """Return the distribution of actual to declared times."""
        known = self._evidence(subject.declared_key, subject.account)
        prior = histogram.log_normal(1.0, DECLARED_SPREAD)
        scaled = tuple((b, s * _DECLARED_WEIGHT) for b, s in prior)
        return histogram.distribution(
            histogram.add_weights(known.done, scaled), known.bounds
        )

    def _evidence(self, key: Key, account: str) -> histogram.Histogram:
        kind = self.by_key.get(key)
        if kind is None:
            return histogram.Histogram()
        return kind.by_account.get(account, histogram.Histogram())

    def _put(
        self, key: Key, account: str, known: histogram.Histogram
    ) -> "Kinds":
        kind = self.by_key.get(key)
        count = self.count + 1
        renewed = (kind or Kind(account)).update(account, known, count)
        found = Kinds(self.by_key.set(key, renewed), count)
        return found if kind else _evicted(found, account)

    def merge(self, key: Key, other: Kind) -> "Kinds":
        """Return the kinds with a stored one added to what is known."""
        kind = self.by_key.get(key)
        if kind is None:
            merged = dataclasses.replace(other, touched=self.count)
        else:
            merged = kind
            for account, known in other.by_account.items():
                own = kind.by_account.get(account, histogram.Histogram())
                merged = merged.update(account, own.merge(known), kind.touched)
        by_key = self.by_key.set(key, merged)
        return _evicted(Kinds(by_key, self.count + 1), merged.owner)

    def replace(self, key: Key, other: Kind | None) -> "Kinds":
        """Return the kinds with one replaced, or removed if None."""
        if other is None:
            if key not in self.by_key:
                return self
            return Kinds(self.by_key.delete(key), self.count + 1)
        renewed = dataclasses.replace(other, touched=self.count)
        by_key = self.by_key.set(key, renewed)
        return _evicted(Kinds(by_key, self.count + 1), other.owner)


def _evicted(kinds: Kinds, owner: str) -> Kinds:
    """Return the kinds without the oldest ones over the limits."""
    by_key = kinds.by_key
    own = [key for key, kind in by_key.items() if kind.owner == owner]
    for limit, keys in ((MAX_KINDS_PER_ACCOUNT, own), (MAX_KINDS, by_key)):
        if len(keys) > limit:
            oldest = min(keys, key=lambda key: by_key[key].touched)
            by_key = by_key.delete(oldest)
            break  # one kind was added
    return Kinds(by_key, kinds.count)


def given_declared(
    known: Learned | None,
    ratios: histogram.Distribution,
    subject: Subject,
) -> histogram.Distribution | None:
    """Return the distribution of a run's time, also by its declared time.

    The declared time counts for a few runs, and shows which of the times
    known are likely; of some it says nothing.
    """
    if subject.declared_s <= 0:
        return known.times if known else None
    declared = histogram.shifted(ratios, subject.declared_s)
    if known is None:
        return declared
    trust = known.finished / (known.finished + PARENT_WEIGHT)
    shares = dict(declared.shares)

    def likelihood(bucket: int) -> float:
        share = (1 - _MISLEADING_SHARE) * shares.get(bucket, 0.0)
        return (share + _MISLEADING_PART) ** trust

    likely = histogram.reweighed(known.times, likelihood)
    return histogram.mixed(declared, PARENT_WEIGHT, likely, known.weight)

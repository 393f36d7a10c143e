"""Keep run times in logarithmic buckets with decaying weights.

Load: queues whose run times vary by a factor of 50. A mean says little about
such a queue; quantiles do. Stopped runs count as lower bounds, as leaving them
out would favour short runs, which are stopped less often.
"""

import bisect
import collections.abc
import dataclasses
import functools
import itertools
import math

BUCKETS_PER_OCTAVE = 4  # a bucket spans a factor of 1.19
_MIN_S = 0.001  # shorter times count as this
_MAX_S = 1e6  # eleven days; longer times count as this
DECAY = 0.98  # per run, so that about the last fifty count
# A run without change has a chance of 1 in 128 to complete such a series.
CHANGE_RUNS = 8  # in a row on one side of the median show a change
# Weight of the earlier runs after a change: less than that of the series.
CHANGE_KEPT = 0.15
MIN_WEIGHT = 0.01  # of a bucket; lighter ones are dropped
# Of the longest lower bound: where the mass beyond all known ends is put.
_TAIL_BUCKETS = 2
_MIN_SHARE = 1e-9  # below this, sums differ by rounding only

Weights = tuple[tuple[int, float], ...]  # buckets, ascending, and weights


def position_of(duration_s: float) -> float:
    """Return the place of a duration on the scale of buckets."""
    if math.isnan(duration_s):
        duration_s = _MIN_S
    clamped = min(max(duration_s, _MIN_S), _MAX_S)
    return math.log2(clamped) * BUCKETS_PER_OCTAVE


def bucket_of(duration_s: float) -> int:
    """Return the bucket of a duration."""
    return math.floor(position_of(duration_s))


def seconds_at(position: float) -> float:
    """Return the duration at a place on the scale of buckets."""
    return 2.0 ** (position / BUCKETS_PER_OCTAVE)


@dataclasses.dataclass(frozen=True, slots=True)
class Histogram:
    """Weighted run times; ``bounds`` are those of stopped runs."""

    done: Weights = ()
    bounds: Weights = ()
    # The newest runs in a row above (+) or below (-) the median, part of
    # ``done``.
    series: Weights = ()
    side: int = 0

    @property
    def weight(self) -> float:
        """Return how many recent runs this stands for."""
        return sum(weight for _, weight in (*self.done, *self.bounds))

    @property
    def done_weight(self) -> float:
        """Return how many recent finished runs this stands for."""
        return sum(weight for _, weight in self.done)

    def add(self, duration_s: float, weight: float = 1.0) -> "Histogram":
        """Return the histogram with a finished run, the others decayed."""
        bucket = bucket_of(duration_s)
        done, bounds = self._decayed(weight)
        done = _insert(done, bucket, weight)
        series, side = self._extend_series(bucket, weight)
        if sum(part for _, part in series) >= CHANGE_RUNS:
            older = scale(_subtract(done, series), CHANGE_KEPT)
            done = add_weights(older, series)
            bounds = scale(bounds, CHANGE_KEPT)
            series, side = (), 0
        return Histogram(done, bounds, series, side)

    def add_bound(self, ran_s: float, weight: float = 1.0) -> "Histogram":
        """Return the histogram with a run stopped after this time.

        Finished runs don't decay: a job that is stopped again and again would
        displace them.
        """
        _, bounds = self._decayed(weight)
        bounds = _insert(bounds, bucket_of(ran_s), weight)
        return Histogram(self.done, bounds, self.series, self.side)

    def merge(self, other: "Histogram") -> "Histogram":
        """Return the evidence of both, at most what one can hold."""
        merged = Histogram(
            add_weights(self.done, other.done),
            add_weights(self.bounds, other.bounds),
        )
        factor = min(1.0, 1 / (1 - DECAY) / max(merged.weight, MIN_WEIGHT))
        return Histogram(
            scale(merged.done, factor), scale(merged.bounds, factor)
        )

    def median_bucket(self) -> int:
        """Return the bucket in the middle of the finished runs."""
        half = self.done_weight / 2
        total = 0.0
        for bucket, weight in self.done:
            total += weight
            if total >= half:
                return bucket
        return 0

    def _decayed(self, weight: float) -> tuple[Weights, Weights]:
        factor = DECAY**weight
        return scale(self.done, factor), scale(self.bounds, factor)

    def _extend_series(
        self, bucket: int, weight: float
    ) -> tuple[Weights, int]:
        """Return the series with a run; a new one if it changes sides."""
        if self.done_weight < CHANGE_RUNS:
            return (), 0
        distance = bucket - self.median_bucket()
        if distance == 0:
            return (), 0
        side = 1 if distance > 0 else -1
        series = self.series if side == self.side else ()
        return _insert(series, bucket, weight), side


def scale(weights: Weights, factor: float) -> Weights:
    """Return the weights times a factor, without negligible ones."""
    if factor == 1.0:
        return weights
    return tuple(
        (bucket, weight * factor)
        for bucket, weight in weights
        if weight * factor >= MIN_WEIGHT
    )


def add_weights(left: Weights, right: Weights) -> Weights:
    """Return the sum of weights by bucket."""
    total = dict(left)
    for bucket, weight in right:
        total[bucket] = total.get(bucket, 0.0) + weight
    return tuple(sorted(total.items()))


def _subtract(weights: Weights, part: Weights) -> Weights:
    """Return what is left of weights without a part of them."""
    total = dict(weights)
    for bucket, weight in part:
        total[bucket] = total.get(bucket, 0.0) - weight
    return tuple(sorted((b, w) for b, w in total.items() if w > 0))


def _insert(weights: Weights, bucket: int, weight: float) -> Weights:
    return add_weights(weights, ((bucket, weight),))


@dataclasses.dataclass(frozen=True)
class Distribution:
    """Probabilities by bucket, ascending; they add up to 1."""

    shares: Weights

    @functools.cached_property
    def _cumulative(self) -> list[float]:
        """Return the share of the runs that end in or before each bucket."""
        return list(itertools.accumulate(share for _, share in self.shares))

    def quantile_s(self, quantile: float) -> float:
        """Return the duration that this share of the runs stays below."""
        return self.quantile_after_s(quantile, 0.0)

    def quantile_after_s(self, quantile: float, ran_s: float) -> float:
        """Return the quantile among the runs that take longer than this.

        A run that outlasts all that is known may take as long again as a
        bucket spans.
        """
        at = position_of(ran_s) if ran_s > 0 else -math.inf
        totals = self._cumulative
        below = 0.0
        if at > self.shares[0][0]:
            first = bisect.bisect_right(self.shares, (at, math.inf)) - 1
            bucket, share = self.shares[first]
            below = totals[first] - share + share * min(at - bucket, 1.0)
        if totals[-1] - below <= _MIN_SHARE:
            return seconds_at(at + 1)
        wanted = below + quantile * (totals[-1] - below)
        found = min(bisect.bisect_left(totals, wanted), len(totals) - 1)
        bucket, share = self.shares[found]
        part = (wanted - totals[found] + share) / share
        return seconds_at(max(bucket + min(max(part, 0.0), 1.0), at))


def distribution(done: Weights, bounds: Weights) -> Distribution | None:
    """Estimate the distribution of run times (Kaplan and Meier, 1958).

    The share of a stopped run goes to the ends later than its stop.
    """
    at_risk = sum(weight for _, weight in (*done, *bounds))
    if at_risk <= 0:
        return None
    ended, stopped = dict(done), dict(bounds)
    survival = 1.0
    shares = []
    for bucket in sorted(ended.keys() | stopped.keys()):
        weight = ended.get(bucket, 0.0)
        if weight and at_risk > 0:
            share = survival * min(weight / at_risk, 1.0)
            shares.append((bucket, share))
            survival -= share
        at_risk -= weight + stopped.get(bucket, 0.0)
    if survival > _MIN_SHARE and bounds:
        tail = max(bounds[-1][0], *(b for b, _ in done), bounds[-1][0])
        shares.append((tail + _TAIL_BUCKETS, survival))
    return Distribution(_normalised(shares))


def log_normal(median_s: float, spread: float) -> Weights:
    """Return shares by bucket of a log-normal distribution."""
    centre = position_of(median_s)
    scale_buckets = spread * BUCKETS_PER_OCTAVE / math.log(2)
    reach = math.ceil(3.5 * scale_buckets) + 1
    first = math.floor(centre) - reach
    edges = [
        _normal((n - centre) / scale_buckets)
        for n in range(first, first + 2 * reach + 2)
    ]
    shares = [
        (first + number, high - low)
        for number, (low, high) in enumerate(itertools.pairwise(edges))
    ]
    return _normalised(shares)


def _normal(deviations: float) -> float:
    return 0.5 * (1 + math.erf(deviations / math.sqrt(2)))


def _normalised(
    shares: collections.abc.Iterable[tuple[int, float]],
) -> Weights:
    positive = [(bucket, share) for bucket, share in shares if share > 0]
    total = sum(share for _, share in positive)
    return tuple((bucket, share / total) for bucket, share in positive)


def mixed(
    left: Distribution,
    left_weight: float,
    right: Distribution,
    right_weight: float,
) -> Distribution:
    """Return the mixture of two distributions."""
    shares = add_weights(
        tuple((b, s * left_weight) for b, s in left.shares),
        tuple((b, s * right_weight) for b, s in right.shares),
    )
    return Distribution(_normalised(shares))


def shifted(ratios: Distribution, base_s: float) -> Distribution:
    """Return the distribution of a base times these ratios."""
    at = position_of(base_s)
    whole = math.floor(at)
    part = at - whole
    shares: Weights = ()
    for step, factor in ((0, 1 - part), (1, part)):
        moved = ((b + whole + step, s * factor) for b, s in ratios.shares)
        shares = add_weights(shares, tuple(moved))
    return Distribution(_normalised(shares))


def reweighed(
    known: Distribution, likelihood: collections.abc.Callable[[int], float]
) -> Distribution:
    """Return the distribution given evidence with this likelihood."""
    shares = [
        (bucket, share * likelihood(bucket)) for bucket, share in known.shares
    ]
    if sum(share for _, share in shares) <= 0:
        return known
    return Distribution(_normalised(shares))

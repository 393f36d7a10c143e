"""Select the kinds of which the stored records are out of date."""

import dataclasses

from cardamomcroft.runtimes import histogram
from cardamomcroft.runtimes import kinds

MIN_CHANGE = 1.1  # factor of a quantile that makes a kind worth storing
# Of the evidence's weight: a successor must know how sure an estimate is.
MIN_GROWTH = 1.5
MAX_KINDS = 64  # in one append, some 20 KB


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """What a stored record says."""

    median_s: float
    upper_s: float
    weight: float


def summary_of(kind: kinds.Kind) -> Summary | None:
    """Return what a record of the kind says; None if it has no evidence."""
    found = histogram.distribution(*kind.evidence(kind.owner))
    if found is None:
        return None
    return Summary(found.quantile_s(0.5), found.quantile_s(0.9), kind.weight)


def has_changed(old: Summary | None, new: Summary | None) -> bool:
    """Return whether the difference is worth a record."""
    if old is None or new is None:
        return old != new
    pairs = (
        (old.median_s, new.median_s, MIN_CHANGE),
        (old.upper_s, new.upper_s, MIN_CHANGE),
        (old.weight, new.weight, MIN_GROWTH),
    )
    return any(
        max(before, after) > min(before, after) * factor
        for before, after, factor in pairs
    )


class Written:
    """What the stored records say, as far as this holder knows."""

    def __init__(self) -> None:
        self._by_key: dict[kinds.Key, tuple[int, Summary | None]] = {}

    def record(self, key: kinds.Key, kind: kinds.Kind | None) -> None:
        """Record a kind that is stored, or one that is deleted."""
        if kind is None:
            self._by_key.pop(key, None)
        else:
            self._by_key[key] = kind.touched, summary_of(kind)

    def select(self, known: kinds.Kinds) -> list[kinds.Key]:
        """Return the kinds to store or to delete, those evicted first."""
        gone = [key for key in self._by_key if key not in known.by_key]
        changed = []
        for key, kind in known.by_key.items():
            touched, summary = self._by_key.get(key, (-1, None))
            if kind.touched != touched and has_changed(
                summary, summary_of(kind)
            ):
                changed.append(key)
        changed.sort(key=lambda key: known.by_key[key].touched)
        return (gone + changed)[:MAX_KINDS]

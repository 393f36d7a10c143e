"""Decide whether an urgent step waits for capacity or preempts at once.

Load: urgent steps for which there is no free capacity. A step that waits and
preempts in the end is late where stops take long, and one that preempts what
was about to end wastes work.
"""

import collections.abc
import dataclasses
import datetime

from cardamomcroft.scheduling import preempting

# Of the bound for guaranteed work: kept for a forecast that fails, a stop
# order that is repeated and the rounds between.
RECLAIM_RESERVE_SHARE = 1 / 3
# Progress is reported in whole percents, and an end by the poll after it.
FORECAST_MARGIN = datetime.timedelta(milliseconds=300)
HORIZON_STEP = datetime.timedelta(milliseconds=100)
# A step whose forecast has failed trusts none for three lead times: until
# then capacity was freed by a stop, or the cost limits allow none.
DISTRUST_LEADS = 3

Choices = list[preempting.Choice]


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What a search for capacity may use."""

    max_cost: float  # core-seconds lost
    # Runs that end by themselves within this time count as free; None: no run
    # does.
    horizon: datetime.timedelta | None


Search = collections.abc.Callable[[Limits], Choices]


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """The times that a decision depends on."""

    lead: datetime.timedelta  # from a stop order to the start in its place
    reclaim: datetime.timedelta  # for guaranteed work to have started

    @property
    def latest_start(self) -> datetime.timedelta:
        """Return the wait after which guaranteed work plans to start."""
        return self.reclaim * (1 - RECLAIM_RESERVE_SHARE)

    @property
    def latest_stop(self) -> datetime.timedelta:
        """Return the wait after which guaranteed work must preempt."""
        return self.latest_start - self.lead


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """An urgent step for which there is no free capacity."""

    waited: datetime.timedelta  # since its job was accepted
    is_guaranteed: bool
    max_cost: float  # core-seconds that it may lose, without a guarantee
    # Within which ends count as free; None after a forecast has failed.
    horizon: datetime.timedelta | None


def decide(case: Case, terms: Terms, search: Search, probe: Search) -> Choices:
    """Return the capacity to wait for or to free; empty for neither.

    ``search`` takes the capacity that it finds, ``probe`` does not.
    """
    unlimited = float("inf")
    if case.is_guaranteed and case.waited >= terms.latest_stop:
        return search(Limits(unlimited, None))
    choices = search(Limits(case.max_cost, case.horizon))
    if choices or not case.is_guaranteed:
        return choices
    left = _floor(terms.latest_start - case.waited)
    if case.horizon is not None and probe(Limits(0.0, left)):
        return []  # waiting serves it in time, and loses nothing
    return search(Limits(unlimited, case.horizon))


def is_wait(choices: Choices) -> bool:
    """Return whether the choices stop nothing and wait for runs to end."""
    return any(choice.ending for choice in choices) and not any(
        choice.victims for choice in choices
    )


def patience(choices: Choices) -> datetime.timedelta:
    """Return how long to wait for the runs that the choices await."""
    return max(choice.awaits for choice in choices) + FORECAST_MARGIN


def horizon(
    awaits_until: datetime.timedelta | None,
    lead: datetime.timedelta,
    now: datetime.timedelta,
) -> datetime.timedelta | None:
    """Return within which time ends count as free for a step; None: none do.

    A step that waits may turn to other runs, but waits no longer for them: a
    forecast that moves on with the clock would delay it without end.
    """
    if awaits_until is None or now >= awaits_until + lead * DISTRUST_LEADS:
        return lead
    if now >= awaits_until:
        return None
    return min(lead, _floor(awaits_until - now))


def _floor(duration: datetime.timedelta) -> datetime.timedelta:
    """Round down, so that steps share what a round computes."""
    return duration // HORIZON_STEP * HORIZON_STEP

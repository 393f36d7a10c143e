"""Assemble what the scheduler needs for sharing, by its parameters."""

from cardamomcroft.scheduling import cluster_state
from cardamomcroft.scheduling import headroom
from cardamomcroft.scheduling import reservations
from cardamomcroft.sharing import arrivals
from cardamomcroft.sharing import lifetimes


def make_headroom(
    parameters: cluster_state.SchedulingParameters,
) -> headroom.Headroom:
    """Return the headroom, sized by arrivals where scheduling plans ahead."""
    if not parameters.plans_ahead:
        return headroom.Headroom()
    return headroom.Headroom(
        rate=arrivals.ArrivalRate(), lead=parameters.preemption_lead
    )


def make_reservations(
    parameters: cluster_state.SchedulingParameters,
) -> reservations.Reservations:
    """Return the reservations, which outlast slow stops where they occur."""
    if not parameters.plans_ahead:
        return reservations.Reservations()
    return reservations.Reservations(
        lifetimes.reservation_lifetime(parameters.stop_bound)
    )

"""Define what a scheduling round decides."""

import dataclasses

from cardamomcroft.scheduling import runs


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """A task to start on a worker."""

    step: runs.StepState
    index: int
    worker_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """A run to stop; the reason names the job that needs its capacity."""

    run: runs.Run
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceWish:
    """A step that needs advice; the workers with room for it come first."""

    step: runs.StepState
    worker_ids: tuple[str, ...]  # none if it could not start now


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A job that could not be planned in this round."""

    job_id: str
    error: str


@dataclasses.dataclass(frozen=True, slots=True)
class Avoidance:
    """Starts of a job that were kept off workers, or a job held back."""

    reason: str
    job_id: str
    tasks: int


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """How many decisions a plan has."""

    starts: int
    stops: int
    advice_wanted: int


@dataclasses.dataclass(slots=True)
class Plan:
    """Decisions of one round."""

    starts: list[Start] = dataclasses.field(default_factory=list)
    stops: list[Stop] = dataclasses.field(default_factory=list)
    advice_wanted: list[AdviceWish] = dataclasses.field(default_factory=list)
    failures: list[Failure] = dataclasses.field(default_factory=list)

    def size(self) -> Size:
        """Return the size to shrink to if a job cannot be planned."""
        return Size(len(self.starts), len(self.stops), len(self.advice_wanted))

    def shrink(self, size: Size) -> None:
        """Discard the decisions made since the plan had this size."""
        del self.starts[size.starts :]
        del self.stops[size.stops :]
        del self.advice_wanted[size.advice_wanted :]

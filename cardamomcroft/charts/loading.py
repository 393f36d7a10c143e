"""Load state charts and look up their transitions."""

import functools
import importlib.resources

import transitions
from transitions.extensions import asyncio as async_machines
import yaml

CHART_NAMES = ("job", "request", "gang", "instance")


class Chart:
    """State chart whose transitions can be looked up without a model."""

    def __init__(self, definition: dict) -> None:
        """Build the transition table from the definition."""
        self.name: str = definition["name"]
        self.initial: str = definition["initial"]
        self.final = frozenset(definition["final"])
        self.states: tuple[str, ...] = tuple(definition["states"])
        self.definition = definition
        machine = transitions.Machine(
            model=None,
            states=list(self.states),
            initial=self.initial,
            transitions=definition["transitions"],
            auto_transitions=False,
        )
        self._next_state = {
            (trigger, transition.source): transition.dest
            for trigger in machine.events
            for transition in machine.get_transitions(trigger)
        }

    def next_state(self, state: str, trigger: str) -> str | None:
        """Return the state after the trigger, or None when not allowed."""
        return self._next_state.get((trigger, state))

    def edges(self) -> tuple[tuple[str, str, str], ...]:
        """Return (trigger, source, destination) of every transition."""
        return tuple(
            (trigger, source, dest)
            for (trigger, source), dest in self._next_state.items()
        )

    @functools.cached_property
    def _async_machine(self) -> async_machines.AsyncMachine:
        return async_machines.AsyncMachine(
            model=None,
            states=list(self.states),
            initial=self.initial,
            transitions=self.definition["transitions"],
            auto_transitions=False,
        )

    def attach(self, model: object) -> None:
        """Add the state and the triggers, as coroutines, to a model."""
        self._async_machine.add_model(model)

    def detach(self, model: object) -> None:
        """Remove a model from the machine of the chart."""
        self._async_machine.remove_model(model)


@functools.cache
def load(name: str) -> Chart:
    """Return the chart of that name."""
    files = importlib.resources.files("cardamomcroft.charts")
    text = files.joinpath(f"{name}.yaml").read_text(encoding="utf-8")
    return Chart(yaml.safe_load(text))

"""Follow which data centres the operator has evacuated.

Load: a data centre is to be emptied, or may fail soon. What runs there goes
on, but nothing new may start there.
"""

import collections.abc
import dataclasses
import types

from cardamomcroft.ports import store
from cardamomcroft.scheduling import events

# Returns the data centre that a key evacuates, None for keys of other kinds;
# raises ValueError if the name is malformed.
Decoder = collections.abc.Callable[[str], str | None]


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """An evacuation that has begun or ended."""

    data_centre: str
    is_begun: bool
    # Of the record; None if a load shows that it has been deleted.
    offset: int | None


Listener = collections.abc.Callable[[Change], None]


class Evacuations:
    """The data centres that are evacuated, by the records read last."""

    def __init__(self, decode: Decoder, log: events.Events) -> None:
        """Start without evacuations; ``decode`` reads the records' keys."""
        self._decode = decode
        self._log = log
        self._offsets_by_data_centre: dict[str, int] = {}
        self.on_change: Listener = lambda change: None

    @property
    def offsets_by_data_centre(self) -> collections.abc.Mapping[str, int]:
        """Return the evacuated data centres, each with its record's offset."""
        return types.MappingProxyType(self._offsets_by_data_centre)

    def read(
        self, records: collections.abc.Iterable[store.Record], is_load: bool
    ) -> None:
        """Apply records in their order; those of a load replace the set."""
        before = self._offsets_by_data_centre
        current = {} if is_load else dict(before)
        ended_at: dict[str, int] = {}
        for record in records:
            data_centre = self._data_centre_of(record)
            if data_centre is None:
                continue
            if record.value is not None:
                current[data_centre] = record.offset
            elif current.pop(data_centre, None) is not None:
                ended_at[data_centre] = record.offset
        self._offsets_by_data_centre = current
        for name in before.keys() - current.keys():
            self.on_change(Change(name, False, ended_at.get(name)))
        for name in current.keys() - before.keys():
            self.on_change(Change(name, True, current[name]))

    def _data_centre_of(self, record: store.Record) -> str | None:
        try:
            return self._decode(record.key)
        except ValueError as error:
            self._log.emit(
                "evacuation_invalid",
                key=record.key,
                offset=record.offset,
                error=str(error),
            )
            return None

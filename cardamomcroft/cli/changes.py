"""Differences between declared settings and the settings in force."""

import dataclasses
import difflib
import typing

import yaml

from cardamomcroft.settings import documents
from cardamomcroft.settings import parsing


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Path whose document differs; a document that is None is absent."""

    path: str
    revision: int
    before: dict[str, typing.Any] | None
    after: dict[str, typing.Any] | None

    @property
    def kind(self) -> str:
        """Return whether the path is added, changed or removed."""
        if self.before is None:
            return "add"
        return "remove" if self.after is None else "change"

    def lines(self) -> list[str]:
        """Return the change as a unified diff of YAML."""
        return list(
            difflib.unified_diff(
                yaml_lines(self.before),
                yaml_lines(self.after),
                f"in force: {self.path}",
                f"declared: {self.path}",
                lineterm="",
            )
        )

    def to_edit(self) -> dict[str, typing.Any]:
        """Return the edit that makes this change, for the API."""
        return {
            "path": self.path,
            "expected_revision": self.revision,
            "document": self.after,
        }


def yaml_lines(document: dict[str, typing.Any] | None) -> list[str]:
    """Return a document as lines of YAML."""
    if document is None:
        return []
    return yaml.safe_dump(document, sort_keys=True).splitlines()


def compare(
    by_path: dict[str, documents.Document],
    entries: dict[str, dict[str, typing.Any]],
    is_pruning: bool,
) -> list[Change]:
    """Return the changes that turn the settings into the declared ones."""
    changes = []
    for path, document in sorted(by_path.items()):
        after = parsing.CONVERTER.unstructure(document)
        entry = entries.get(path)
        before = entry["document"] if entry else None
        if _to_json_types(after) != before:
            revision = entry["revision"] if entry else -1
            changes.append(Change(path, revision, before, after))
    if is_pruning:
        changes.extend(
            Change(path, entry["revision"], entry["document"], None)
            for path, entry in sorted(entries.items())
            if path not in by_path
        )
    return changes


def _to_json_types(data: typing.Any) -> typing.Any:
    """Convert tuples to lists, as encoding to JSON does."""
    if isinstance(data, dict):
        return {key: _to_json_types(value) for key, value in data.items()}
    if isinstance(data, list | tuple):
        return [_to_json_types(value) for value in data]
    return data

"""Parse YAML and JSON into validated documents; errors name the path."""

import dataclasses
import datetime
import difflib
import json
import math
import typing

import cattrs
import cattrs.errors
import cattrs.preconf.json
import cattrs.strategies
import expression
import yaml

from cardamomcroft.settings import documents

MAX_PATH_LENGTH = 200  # characters


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Describe an error in a document and its file or path and location."""

    path: str
    location: str
    detail: str

    def __str__(self) -> str:
        """Format the problem as one line."""
        return f"{self.path}: {self.location or '(document)'}: {self.detail}"


Problems = tuple[Problem, ...]
Checked = expression.Result


class _StrictLoader(yaml.SafeLoader):
    """Load YAML and reject duplicate keys."""

    def construct_mapping(self, node, deep=False):
        """Build a mapping; raise ConstructorError on a duplicate key."""
        keys = [self.construct_object(key, True) for key, _ in node.value]
        for index, key in enumerate(keys):
            if key in keys[:index]:
                raise yaml.constructor.ConstructorError(
                    None, None, f"duplicate key {key!r}", node.start_mark
                )
        return super().construct_mapping(node, deep)


def _strict_type(expected: type, accepted: tuple[type, ...]):
    def structure(value, _):
        if isinstance(value, bool) and expected is not bool:
            raise TypeError(f"expected {expected.__name__}, found {value!r}")
        if not isinstance(value, accepted):
            raise TypeError(f"expected {expected.__name__}, found {value!r}")
        return expected(value)

    return structure


def _finite_float(value, _):
    number = _strict_type(float, (int, float))(value, _)
    if not math.isfinite(number):
        raise ValueError(f"expected a finite number, found {value!r}")
    return number


def _encodable_text(value, _):
    text = _strict_type(str, (str,))(value, _)
    if not text.isascii():
        try:
            text.encode()
        except UnicodeEncodeError as error:
            raise ValueError("text holds an unpaired surrogate") from error
    return text


def _utc_datetime(value, _):
    if isinstance(value, str):
        value = datetime.datetime.fromisoformat(value)
    if not isinstance(value, datetime.datetime):
        raise TypeError(f"expected a date and time, found {value!r}")
    if value.tzinfo is None:
        return value.replace(tzinfo=datetime.UTC)
    return value.astimezone(datetime.UTC)


def make_converter(strict: bool = True) -> cattrs.preconf.json.JsonConverter:
    """Return a converter between JSON-like data and data classes."""
    converter = cattrs.preconf.json.make_converter(
        forbid_extra_keys=strict, detailed_validation=strict
    )
    converter.register_structure_hook(int, _strict_type(int, (int,)))
    converter.register_structure_hook(str, _encodable_text)
    converter.register_structure_hook(bool, _strict_type(bool, (bool,)))
    converter.register_structure_hook(float, _finite_float)
    converter.register_structure_hook(datetime.datetime, _utc_datetime)
    return converter


CONVERTER = make_converter()


def _describe_unknown_keys(
    error: cattrs.errors.ForbiddenExtraKeysError,
) -> str:
    known = [field.name for field in dataclasses.fields(error.cl)]
    parts = []
    for key in sorted(map(str, error.extra_fields)):
        near = difflib.get_close_matches(key, known, n=1)
        hint = f", did you mean '{near[0]}'?" if near else ""
        parts.append(f"unknown key '{key}'{hint}")
    return "; ".join(parts)


def _format_error(error: BaseException, _: type | None) -> str:
    if isinstance(error, cattrs.errors.ForbiddenExtraKeysError):
        return _describe_unknown_keys(error)
    if isinstance(error, KeyError):
        return f"required key {error} is missing"
    return str(error)


def structure(
    path: str, data: object, wanted: type
) -> Checked[typing.Any, Problems]:
    """Convert JSON-like data to a type, or return its problems."""
    if not isinstance(data, dict):
        detail = f"expected a mapping, found {type(data).__name__}"
        return expression.Error((Problem(path, "", detail),))
    try:
        return expression.Ok(CONVERTER.structure(data, wanted))
    except (cattrs.errors.BaseValidationError, ValueError, TypeError) as error:
        lines = cattrs.transform_error(
            error, path="$", format_exception=_format_error
        )
    return expression.Error(tuple(_problem(path, line) for line in lines))


def _problem(path: str, line: str) -> Problem:
    detail, _, location = line.rpartition(" @ ")
    return Problem(path, location.removeprefix("$").strip("."), detail)


def parse_yaml(path: str, text: str) -> Checked[typing.Any, Problems]:
    """Parse YAML and reject duplicate keys."""
    try:
        return expression.Ok(yaml.load(text, Loader=_StrictLoader))
    except (yaml.YAMLError, ValueError, TypeError, RecursionError) as error:
        detail = " ".join(str(error).split())
        return expression.Error((Problem(path, "", detail),))


def parse_document(
    path: str, data: object
) -> Checked[documents.Document, Problems]:
    """Validate the document declared at a path."""
    wanted = documents.document_type(path)
    if wanted is None or len(path) > MAX_PATH_LENGTH:
        detail = (
            "no document belongs here; expected fleet/<data centre>, "
            "teams/<team>/operators, teams/<team>/accounts/<account> "
            "or teams/<team>/jobs/<job>"
        )
        return expression.Error((Problem(path[:200], "", detail),))
    return structure(path, data, wanted)


def to_json(document: object) -> str:
    """Encode a document as canonical JSON."""
    data = CONVERTER.unstructure(document)
    return json.dumps(data, sort_keys=True, separators=(",", ":"))


def from_json(path: str, text: str) -> documents.Document:
    """Decode a document that was validated before it was stored."""
    wanted = documents.document_type(path)
    return CONVERTER.structure(json.loads(text), wanted)

"""Load a directory of declarations kept in version control."""

import os
import pathlib

import expression

from cardamomcroft.settings import documents
from cardamomcroft.settings import parsing

YAML_SUFFIXES = (".yaml", ".yml")


def load(
    root: pathlib.Path,
) -> parsing.Checked[dict[str, documents.Document], parsing.Problems]:
    """Return the validated documents of a directory by path."""
    if not root.is_dir():
        problem = parsing.Problem(os.fspath(root), "", "not a directory")
        return expression.Error((problem,))
    by_path: dict[str, documents.Document] = {}
    problems: list[parsing.Problem] = []
    for file in sorted(root.rglob("*")):
        if file.suffix not in YAML_SUFFIXES:
            continue
        path = file.relative_to(root).with_suffix("").as_posix()
        checked = _load_file(file, path)
        if checked.is_error():
            problems.extend(checked.error)
        else:
            by_path[path] = checked.ok
    if not by_path and not problems:
        problem = parsing.Problem(
            os.fspath(root), "", "no .yaml or .yml files"
        )
        problems.append(problem)
    if problems:
        return expression.Error(tuple(problems))
    return expression.Ok(by_path)


def _load_file(
    file: pathlib.Path, path: str
) -> parsing.Checked[documents.Document, parsing.Problems]:
    name = os.fspath(file)
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return expression.Error((parsing.Problem(name, "", str(error)),))
    parsed = parsing.parse_yaml(name, text)
    if parsed.is_error():
        return parsed
    checked = parsing.parse_document(path, parsed.ok)
    return checked.map_error(
        lambda problems: tuple(
            parsing.Problem(name, problem.location, problem.detail)
            for problem in problems
        )
    )

"""Reading of declarations from INI files for the operators' commands."""

import collections.abc
import pathlib

import attrs
import returns.result

from jujubepass import _ini, declarations
from jujubepass.configuration import _declaration_changes

_SUFFIX = ".ini"

Problems = tuple[_ini.Problem, ...]


@attrs.define(kw_only=True)
class DeclaredFiles:
    """Describe the sections of all files and the file of each section."""

    sections: dict[str, dict[str, str]] = attrs.field(factory=dict)
    files: dict[str, str] = attrs.field(factory=dict)


def read_declarations(
    paths: collections.abc.Iterable[pathlib.Path],
) -> returns.result.Result[DeclaredFiles, Problems]:
    """Read INI files and the INI files of folders; a failure lists every problem."""
    paths = list(paths)
    declared = DeclaredFiles()
    problems: list[_ini.Problem] = []
    for path in _list_files(paths):
        try:
            text = path.read_bytes().decode("utf-8-sig")
        except (OSError, ValueError) as error:
            problems.append(_describe_unreadable(path, error))
            continue
        sections, found = _ini.read_sections(str(path), text)
        problems += found
        for title, section in sections.items():
            if title in declared.sections:
                problems.append(_describe_duplicate(path, title, declared.files[title]))
            declared.sections[title] = section
            declared.files[title] = str(path)
    if not declared.sections and not problems:
        problems.append(_describe_empty(paths))
    if problems:
        return returns.result.Failure(tuple(problems))
    return returns.result.Success(declared)


def check_declarations(
    paths: collections.abc.Iterable[pathlib.Path],
) -> returns.result.Result[DeclaredFiles, Problems]:
    """Read files and check their sections as a complete configuration."""
    read = read_declarations(paths)
    if isinstance(read, returns.result.Failure):
        return read
    declared = read.unwrap()
    update = _declaration_changes.update_declarations(
        declarations.Declarations(), {}, declared.sections, declared.files
    )
    if update.problems:
        return returns.result.Failure(update.problems)
    return read


def _list_files(
    paths: collections.abc.Iterable[pathlib.Path],
) -> list[pathlib.Path]:
    files: list[pathlib.Path] = []
    for path in paths:
        files += sorted(path.glob(f"*{_SUFFIX}")) if path.is_dir() else [path]
    return files


def _describe_unreadable(path: pathlib.Path, error: Exception) -> _ini.Problem:
    reason = error.strerror if isinstance(error, OSError) else "is not UTF-8 text"
    return _ini.Problem(
        file=str(path), what=f"cannot be read ({reason})", allowed="INI text in UTF-8"
    )


def _describe_duplicate(path: pathlib.Path, title: str, other: str) -> _ini.Problem:
    return _ini.Problem(
        file=str(path),
        section=title,
        what=f"stands in {other} too",
        allowed="each section once over all files",
    )


def _describe_empty(
    paths: collections.abc.Iterable[pathlib.Path],
) -> _ini.Problem:
    return _ini.Problem(
        file=", ".join(map(str, paths)),
        what="holds no declarations",
        allowed=f"files that end in {_SUFFIX}, or folders with them",
    )

"""Declarations read from INI files, for the operators' commands."""

import collections.abc
import pathlib

import returns.result

from jujubepass import _ini

_SUFFIX = ".ini"

Declarations = dict[str, str]
Problems = tuple[_ini.Problem, ...]


def read_declarations(
    paths: collections.abc.Iterable[pathlib.Path],
) -> returns.result.Result[Declarations, Problems]:
    """Read INI files, and those of folders; a failure holds every problem."""
    declarations: Declarations = {}
    problems: list[_ini.Problem] = []
    for path in _list_files(paths):
        try:
            text = path.read_bytes().decode("utf-8-sig")
        except (OSError, ValueError) as error:
            problems.append(_describe_unreadable(path, error))
            continue
        if path.name in declarations:
            problems.append(_describe_duplicate(path))
        declarations[path.name] = text
        _, found = _ini.read_sections(path.name, text)
        problems += found
    if not declarations and not problems:
        problems.append(_describe_nothing(paths))
    if problems:
        return returns.result.Failure(tuple(problems))
    return returns.result.Success(declarations)


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


def _describe_duplicate(path: pathlib.Path) -> _ini.Problem:
    return _ini.Problem(
        file=str(path),
        what="has the name of another file given",
        allowed="each file name once",
    )


def _describe_nothing(
    paths: collections.abc.Iterable[pathlib.Path],
) -> _ini.Problem:
    return _ini.Problem(
        file=", ".join(map(str, paths)),
        what="holds no declarations",
        allowed=f"files that end in {_SUFFIX}, or folders with them",
    )

"""Preparation of the process that must run before trio is imported."""

import ctypes.util

_C_LIBRARY = "libc.so.6"
_LIBRARIES_IN_C_LIBRARY = frozenset(("c", "pthread"))


def avoid_child_processes() -> None:
    """Replace ctypes' library look-up, which starts ldconfig or a compiler."""
    ctypes.util.find_library = find_library


def find_library(name: str) -> str | None:
    """Return the file name of library `name` without starting a process."""
    return _C_LIBRARY if name in _LIBRARIES_IN_C_LIBRARY else None

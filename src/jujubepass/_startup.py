"""Preparation that must come before the first import of trio."""

import ctypes.util

_C_LIBRARY = "libc.so.6"
_NAMES_IN_C_LIBRARY = frozenset(("c", "pthread"))


def avoid_child_processes() -> None:
    """Replace the library look-up, which starts ldconfig or a compiler."""
    ctypes.util.find_library = find_library


def find_library(name: str) -> str | None:
    """Name the shared library that holds `name`, without starting a process."""
    return _C_LIBRARY if name in _NAMES_IN_C_LIBRARY else None

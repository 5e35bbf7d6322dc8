"""Entry point of a node; JUJUBEPASS_SETTINGS holds the path of its settings file."""

import os
import sys

from jujubepass import _startup

_startup.avoid_child_processes()

import returns.result  # noqa: E402

from jujubepass.forwarding import settings  # noqa: E402
from jujubepass.platform import assembly  # noqa: E402

_SETTINGS_VARIABLE = "JUJUBEPASS_SETTINGS"
_BAD_INPUT_EXIT_CODE = 2


def main() -> int:
    """Run a node until SIGTERM; return the exit code."""
    path = os.environ.get(_SETTINGS_VARIABLE)
    if path is None:
        print(f"environment variable {_SETTINGS_VARIABLE} is not set", file=sys.stderr)
        return _BAD_INPUT_EXIT_CODE
    source = settings.SettingsFile(path=path)
    read = source.read()
    if isinstance(read, returns.result.Failure):
        print(read.failure(), file=sys.stderr)
        return _BAD_INPUT_EXIT_CODE
    return assembly.run(read.unwrap(), source)


if __name__ == "__main__":
    sys.exit(main())

"""Entry point of the program."""

import sys

from jujubepass import _startup

_startup.avoid_child_processes()

from jujubepass import cli  # noqa: E402


def main() -> int:
    """Run the command line and return its exit code."""
    return cli.run(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())

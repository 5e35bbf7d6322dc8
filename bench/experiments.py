"""Experiments by name, and what each of them is given."""

import enum
import importlib
import pathlib
import typing

import attrs

from bench import results

NAMES = (
    "data-path",
    "control-nodes",
    "control-engines",
    "control-accounts",
    "control-changes",
    "control-size",
    "capacity",
    "throughput",
    "month-end",
    "recovery",
    "postings",
    "changes",
)


class Size(enum.Enum):
    """Choose how much an experiment runs."""

    TINY = "tiny"
    FULL = "full"


@attrs.frozen(kw_only=True)
class Options:
    """Hold what every experiment is given."""

    seed: int
    size: Size
    output: pathlib.Path
    first_port: int

    def choose(self, full: typing.Any, tiny: typing.Any) -> typing.Any:
        """Return the value that fits the size."""
        return full if self.size is Size.FULL else tiny


class Experiment(typing.Protocol):
    """Run one bounded experiment, as a module of `bench` does."""

    def run(self, options: Options) -> results.Result:
        """Run to the end and return what was measured."""


class UnknownExperimentError(Exception):
    """Report a name that no experiment has."""


def find_experiment(name: str) -> Experiment:
    """Import the module of an experiment."""
    module = f"bench.{name.replace('-', '_')}"
    try:
        if name not in NAMES:
            raise ModuleNotFoundError(name=module)
        return typing.cast(Experiment, importlib.import_module(module))
    except ModuleNotFoundError as error:
        if error.name != module:
            raise
        known = ", ".join(NAMES)
        raise UnknownExperimentError(
            f"{name!r} is no experiment of this build; the names are {known}"
        ) from error

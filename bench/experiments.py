"""Experiments by name, and their common options."""

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
    """Name the sizes of an experiment."""

    TINY = "tiny"
    FULL = "full"


@attrs.frozen(kw_only=True)
class Options:
    """Configure a run of an experiment."""

    seed: int
    size: Size
    output: pathlib.Path
    first_port: int

    def choose(self, full: typing.Any, tiny: typing.Any) -> typing.Any:
        """Return the value for the chosen size."""
        return full if self.size is Size.FULL else tiny


class Experiment(typing.Protocol):
    """Define the interface of a module of `bench` that runs an experiment."""

    def run(self, options: Options) -> results.Result:
        """Run the experiment and return its result."""


class UnknownExperimentError(Exception):
    """Raised when no experiment has the given name."""


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
            f"unknown experiment {name!r}; the experiments are {known}"
        ) from error

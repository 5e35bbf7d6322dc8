"""Demonstration on loopback: platform, engines, services, nodes, three requests."""

import logging
import signal
import types
import typing

import attrs
import cappa

from jujubepass.transport import _http_client
from standins import processes, system

_FIRST_PORT = 8_100
_NODES = 3
_PROMPT = "Stairlift stops halfway with a red light. What should I check?"
_BOOKING = {"address": "Rambla 12", "day": "2030-05-02"}
_SHOWN_HEADERS = ("x-jujubepass-node", "x-jujubepass-backend")


@cappa.command(name="demo")
@attrs.define(kw_only=True)
class Arguments:
    """Run a whole system on loopback until interrupted."""

    first_port: typing.Annotated[int, cappa.Arg(long=True)] = _FIRST_PORT
    once: typing.Annotated[bool, cappa.Arg(long=True)] = False


def send_requests(demo: system.System) -> None:
    """Send a prompt, a booking and a lookup; print the answers and their servers."""
    first, second, third = demo.nodes
    print_answer(
        "prompt", demo.send_model_request(first, _PROMPT, max_tokens=16, stream=True)
    )
    print_answer("booking", demo.send_call(second, "demo-visit-1", _BOOKING))
    print_answer("lookup", demo.send_lookup(third))


def print_answer(title: str, answer: _http_client.Answer) -> None:
    """Print one answer with the node and the backends that served it."""
    print(f"\n{title}: {answer.status}")
    print(answer.body.decode().strip())
    for name in _SHOWN_HEADERS:
        print(f"  {name}: {answer.headers.get(name, '-')}")


def print_addresses(demo: system.System) -> None:
    """Print the addresses of all listeners."""
    rows = {"platform": demo.platform, **demo.engines, **demo.services}
    for name, ports in demo.nodes.items():
        for listener, port in attrs.asdict(ports).items():
            rows[f"{name} {listener}"] = port
    print()
    for name, port in rows.items():
        print(f"{name:<20} {processes.HOST}:{port}")
    print(f"\nCaller key {system.CALLER_KEY}, operators' key {system.OPERATOR_KEY}")
    print(make_status_command(next(iter(demo.nodes.values())).operators))


def make_status_command(operators: int) -> str:
    """Return the shell command that reads the status from an operators' port."""
    return (
        f"JUJUBEPASS_OPERATOR_KEY={system.OPERATOR_KEY} PYTHONPATH=src"
        f" .venv/bin/python -m jujubepass status --node {processes.HOST}:{operators}"
    )


def _interrupt(number: int, frame: types.FrameType | None) -> None:
    raise KeyboardInterrupt


def main() -> None:
    """Start the system, send the requests and wait for an interrupt."""
    arguments = cappa.parse(Arguments, completion=False)
    logging.basicConfig(level=logging.WARNING)
    signal.signal(signal.SIGTERM, _interrupt)
    with system.System(first_port=arguments.first_port) as demo:
        try:
            demo.start_all(_NODES)
            send_requests(demo)
            print_addresses(demo)
            if not arguments.once:
                print("Running until interrupted (Ctrl-C).", flush=True)
                signal.pause()
        except KeyboardInterrupt:
            print("Stopping.")


if __name__ == "__main__":
    main()

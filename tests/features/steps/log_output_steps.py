import contextlib
import json
import logging
import os
import time

import behave

from jujubepass.telemetry import _log_output


class Formatter(logging.Formatter):
    def format(self, record):
        lines = getattr(record, "lines", None)
        return json.dumps({"message": record.getMessage(), "lines": lines})


@behave.given("a log written to a pipe that nobody reads")
def step_pipe(context):
    context.reader, writer = os.pipe()
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, writer)
    context.now = 0.0
    context.handler = _log_output.BoundedHandler(
        descriptor=writer, read_clock=lambda: context.now
    )
    context.handler.setFormatter(Formatter())


def log(context, text):
    record = logging.makeLogRecord({"msg": text, "levelno": logging.WARNING})
    context.handler.handle(record)


@behave.when("{count:d} lines are logged at once")
def step_log(context, count):
    started = time.monotonic()
    for _ in range(count):
        log(context, "x" * 200)
    context.seconds = time.monotonic() - started


@behave.then("less than a second has passed and lines were dropped")
def step_dropped(context):
    assert context.seconds < 1.0, context.seconds
    assert context.handler.dropped > 0


def read_lines(context):
    os.set_blocking(context.reader, False)
    data = b""
    with contextlib.suppress(BlockingIOError):
        while part := os.read(context.reader, 65_536):
            data += part
    return data


@behave.when("the pipe is read and a line is logged a second later")
def step_read(context):
    context.dropped = context.handler.dropped
    data = read_lines(context)
    context.now += 1.0
    for _ in range(20):
        log(context, "later")
        data += read_lines(context)
    context.lines = [json.loads(line) for line in data.decode().splitlines()]


@behave.then("the lines read are complete, and one reports how many were dropped")
def step_whole(context):
    reports = [each for each in context.lines if each["lines"] is not None]
    assert sum(each["lines"] for each in reports) == context.dropped, reports
    assert sum(each["message"] == "later" for each in context.lines) == 20

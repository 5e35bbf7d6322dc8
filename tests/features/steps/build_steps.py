import functools
import hashlib
import os
import pathlib
import shlex
import signal
import socket
import subprocess
import sys
import tempfile

import behave

from standins import processes

ROOT = pathlib.Path(__file__).resolve().parents[3]
AUDIT_PROGRAM = ROOT / "tests" / "audited.py"
OPERATOR_KEY = "operators-key-of-the-build-feature"
PROCESS_TIMEOUT_SECONDS = 60
CONTROL_PROGRAM = """\
import pathlib, subprocess, sys, types
foreign = sys.modules["foreign"] = types.ModuleType("foreign")
foreign.__file__ = "/foreign.py"
subprocess.run([sys.executable, "-c", "pass"])
pathlib.Path("written").write_text("")
"""
SETTINGS = """\
[node]
name = n1
region = montevideo
failure_domain = a
[listen]
callers = 127.0.0.1:{callers}
operators = 127.0.0.1:{operators}
peers = 127.0.0.1:{peers}
[platform]
table = 127.0.0.1:{platform}
objects = 127.0.0.1:{platform}
vms = 127.0.0.1:{platform}
[security]
peer_key = key-of-the-build-feature
operator_key_hash = {key_hash}
"""


@functools.cache
def make_folder():
    return tempfile.TemporaryDirectory(prefix="build-")


def build(name):
    target = pathlib.Path(make_folder().name) / name
    subprocess.run(
        [sys.executable, "tools/build.py", str(target)], cwd=ROOT, check=True
    )
    return target


@functools.cache
def build_once():
    return build("jujubepass")


def write_settings(context):
    ports = processes.Ports(first=int(os.environ["JUJUBEPASS_TEST_PORT"]))
    names = ("callers", "operators", "peers", "platform")
    context.ports = {name: ports.allocate() for name in names}
    key_hash = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
    text = SETTINGS.format(key_hash=key_hash, **context.ports)
    (context.files / "node.ini").write_text(text)
    (context.files / "bad.ini").write_text(text + "[trase]\nrecord = off\n")


def make_command(program, *arguments):
    return [sys.executable, "-I", "-S", str(AUDIT_PROGRAM), str(program), *arguments]


def make_environment(folder):
    """Point the default locations for files to one folder."""
    locations = dict.fromkeys(("HOME", "TMPDIR", "XDG_CACHE_HOME"), str(folder))
    return {
        **locations,
        "PATH": os.environ["PATH"],
        "JUJUBEPASS_OPERATOR_KEY": OPERATOR_KEY,
    }


def store_result(context, code, output):
    context.code = code
    lines = output.splitlines()
    assert "AUDITED to the end" in lines, output
    context.audit = [line for line in lines if line.startswith("AUDIT ")]
    context.output = "\n".join(line for line in lines if line not in context.audit)


def run_audited(context, program, *arguments):
    result = subprocess.run(
        make_command(program, *arguments),
        cwd=context.run_folder,
        env=make_environment(context.run_folder),
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        stdin=subprocess.DEVNULL,
        text=True,
        timeout=PROCESS_TIMEOUT_SECONDS,
    )
    store_result(context, result.returncode, result.stdout)


def make_folders(context):
    folder = tempfile.TemporaryDirectory(prefix="build-run-")
    context.add_cleanup(folder.cleanup)
    context.files = pathlib.Path(folder.name) / "files"
    context.run_folder = pathlib.Path(folder.name) / "run"
    context.files.mkdir()
    context.run_folder.mkdir()


@behave.given("the built program")
def step_built(context):
    context.program = build_once()
    make_folders(context)
    write_settings(context)


@behave.given("its address for operators is in use")
def step_address_in_use(context):
    listener = socket.create_server((processes.HOST, context.ports["operators"]))
    context.add_cleanup(listener.close)


@behave.when("it is built again")
def step_built_again(context):
    context.again = build("again")


@behave.then("both files contain the same bytes")
def step_same_bytes(context):
    assert context.program.read_bytes() == context.again.read_bytes()


@behave.when('it runs "{command}" under audit')
def step_run(context, command):
    arguments = [
        str(context.files / word) if word.endswith(".ini") else word
        for word in shlex.split(command)
    ]
    run_audited(context, context.program, *arguments)


@behave.when("a program that starts a process and writes a file runs under audit")
def step_control(context):
    make_folders(context)
    control = context.files / "control.py"
    control.write_text(CONTROL_PROGRAM)
    run_audited(context, control)


@behave.when("it serves under audit until SIGTERM")
def step_serve(context):
    command = make_command(context.program, "serve", str(context.files / "node.ini"))
    process = subprocess.Popen(
        command,
        cwd=context.run_folder,
        env=make_environment(context.run_folder),
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        stdin=subprocess.DEVNULL,
        text=True,
    )
    try:
        port = context.ports["operators"]
        processes.wait_for(
            lambda: (
                process.poll() is not None or processes.returns_ok(port, "/healthz")
            ),
            "the node serving",
        )
        if process.poll() is None:
            assert processes.returns_ok(port, "/metrics")
            processes.wait_for(
                lambda: processes.can_connect(context.ports["callers"]),
                "the listener for callers",
            )
            process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=PROCESS_TIMEOUT_SECONDS)
    finally:
        process.kill()
        process.wait()
    store_result(context, process.returncode, output)


@behave.then('it exits with {code:d} and prints "{text}"')
def step_exit(context, code, text):
    assert context.code == code, (context.code, context.output)
    assert text in context.output, context.output


@behave.then("the audit reported nothing")
def step_audit_silent(context):
    assert not context.audit, context.audit


@behave.then("the audit reported these")
def step_audit(context):
    seen = "\n".join(context.audit)
    for row in context.table:
        assert f"AUDIT {row['event']} " in seen, (row["event"], context.audit)


@behave.then("its folder is empty")
def step_folder_empty(context):
    assert not list(context.run_folder.iterdir())

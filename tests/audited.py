"""Run a program; print each process it starts, file it changes, foreign module.

Usage: python -I -S tests/audited.py PROGRAM [ARGUMENT...]
"""

import atexit
import os
import resource
import runpy
import sys
import sysconfig

PREFIX = "AUDIT"
END = "AUDITED to the end"
STARTS = (
    "subprocess.Popen",
    "pty.spawn",
    "os.fork",
    "os.forkpty",
    "os.posix_spawn",
    "os.spawn",
    "os.startfile",
    "os.system",
    "os.exec",
)
CHANGES = (
    "os.chmod",
    "os.chown",
    "os.link",
    "os.mkdir",
    "os.remove",
    "os.rename",
    "os.rmdir",
    "os.setxattr",
    "os.symlink",
    "os.truncate",
    "os.utime",
    "shutil.",
    "sqlite3.",
    "tempfile.",
)
WRITE_FLAGS = os.O_WRONLY | os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND


def report(event, arguments):
    os.write(2, f"{PREFIX} {event} {arguments!r}\n".encode())


def watch(event, arguments):
    if event.startswith(STARTS + CHANGES):
        report(event, arguments)
    elif event == "open":
        path, _mode, flags = arguments
        is_file = not isinstance(path, int) and path != os.devnull
        if is_file and flags & WRITE_FLAGS:
            report(event, arguments)


def report_at_end(own_paths, children_usage):
    usage = children_usage(resource.RUSAGE_CHILDREN)
    if usage.ru_maxrss:
        report("child process", (usage.ru_maxrss,))
    for name, module in sorted(sys.modules.items()):
        path = getattr(module, "__file__", None)
        if path and not os.path.abspath(path).startswith(own_paths):
            report("foreign module", (name, path))
    os.write(2, f"{END}\n".encode())


def main():
    program, *arguments = sys.argv[1:]
    sys.argv = [program, *arguments]
    standard = (sysconfig.get_path("stdlib"), sysconfig.get_path("platstdlib"))
    own_paths = (os.path.abspath(program), os.path.abspath(__file__), *standard)
    atexit.register(report_at_end, own_paths, resource.getrusage)
    sys.addaudithook(watch)
    runpy.run_path(program, run_name="__main__")


if __name__ == "__main__":
    main()

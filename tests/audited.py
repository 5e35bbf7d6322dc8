"""Run a program and report processes, file changes and foreign modules.

Usage: python -I -S tests/audited.py PROGRAM [ARGUMENT...]
"""

import atexit
import os
import resource
import runpy
import sys
import sysconfig

REPORT_PREFIX = "AUDIT"
END_LINE = "AUDITED to the end"
PROCESS_EVENTS = (
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
FILE_CHANGE_EVENTS = (
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
    os.write(2, f"{REPORT_PREFIX} {event} {arguments!r}\n".encode())


def audit_event(event, arguments):
    if event.startswith(PROCESS_EVENTS + FILE_CHANGE_EVENTS):
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
    os.write(2, f"{END_LINE}\n".encode())


def main():
    program, *arguments = sys.argv[1:]
    sys.argv = [program, *arguments]
    standard_library = (sysconfig.get_path("stdlib"), sysconfig.get_path("platstdlib"))
    own_paths = (os.path.abspath(program), os.path.abspath(__file__), *standard_library)
    atexit.register(report_at_end, own_paths, resource.getrusage)
    sys.addaudithook(audit_event)
    runpy.run_path(program, run_name="__main__")


if __name__ == "__main__":
    main()

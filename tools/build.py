"""Build the program as one file: a zipapp of compiled modules.

The file contains the package and every dependency of requirements.lock, without
their C extensions. It runs on the Python minor version that built it.
"""

import importlib.metadata
import os
import pathlib
import py_compile
import shutil
import sys
import tempfile
import zipapp

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "src" / "jujubepass"
LOCK_FILE = ROOT / "requirements.lock"
DEFAULT_TARGET = ROOT / "dist" / "jujubepass"

# opentelemetry looks up its entry points at import.
METADATA_FILES = frozenset(("METADATA", "entry_points.txt"))
METADATA_PROJECTS = frozenset(("opentelemetry-api", "opentelemetry-sdk"))
UNUSED_FOLDERS = frozenset(("tests", "_tests", "__pycache__"))
# A fixed time makes builds of the same source identical byte by byte.
ENTRY_TIME_SECONDS = 1_000_000_000

MAIN = """\
import sys

sys.dont_write_bytecode = True
if sys.version_info[:2] != {version}:
    sys.exit("jujubepass: run this file with Python {name}")

import jujubepass.__main__

sys.exit(jujubepass.__main__.main())
"""


def build(target):
    """Build the program into `target`."""
    version = sys.version_info[:2]
    name = f"{version[0]}.{version[1]}"
    with tempfile.TemporaryDirectory() as folder:
        staging = pathlib.Path(folder)
        for source, relative in [*list_package(), *list_dependencies()]:
            add_file(source, relative, staging)
        main = MAIN.format(version=version, name=name)
        (staging / "__main__.py").write_text(main)
        for path in staging.rglob("*"):
            os.utime(path, (ENTRY_TIME_SECONDS, ENTRY_TIME_SECONDS))
        target.parent.mkdir(parents=True, exist_ok=True)
        zipapp.create_archive(
            staging, target, interpreter=f"/usr/bin/env python{name}", compressed=True
        )
    return target


def list_package():
    """List the package's modules as (source, path in the archive)."""
    return [
        (path, path.relative_to(PACKAGE.parent))
        for path in sorted(PACKAGE.rglob("*.py"))
    ]


def list_dependencies():
    """List the modules of all locked dependencies."""
    found = []
    for line in LOCK_FILE.read_text().splitlines():
        project, separator, _version = line.partition("==")
        if not separator:
            continue
        distribution = importlib.metadata.distribution(project)
        for file in distribution.files or ():
            if is_needed(file, project):
                found.append((pathlib.Path(distribution.locate_file(file)), file))
    return found


def is_needed(file, project):
    """Return whether a distribution's file is included in the program."""
    if ".." in file.parts or UNUSED_FOLDERS & set(file.parts):
        return False
    if file.parts[0].endswith(".dist-info"):
        return project in METADATA_PROJECTS and file.name in METADATA_FILES
    return file.suffix == ".py"


def add_file(source, relative, staging):
    """Compile a module into the staging folder; copy any other file."""
    target = staging / relative
    target.parent.mkdir(parents=True, exist_ok=True)
    if source.suffix != ".py":
        shutil.copyfile(source, target)
        return
    py_compile.compile(
        str(source),
        cfile=str(target.with_suffix(".pyc")),
        dfile=str(relative),
        doraise=True,
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )
    if source.is_relative_to(PACKAGE):
        shutil.copyfile(source, target)


def main():
    """Build into the given path, or into dist/ by default."""
    target = pathlib.Path(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_TARGET
    built = build(target)
    print(f"{built}: {built.stat().st_size:,} bytes")


if __name__ == "__main__":
    main()

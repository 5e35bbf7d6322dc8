"""Install the program and its dependencies under target/deps, with bytecode.

A stamp, the digest of the sources and the lock file, lets a second run do nothing.
"""

import compileall
import hashlib
import pathlib
import py_compile
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "src" / "jujubepass"
LOCK_FILE = ROOT / "requirements.lock"
TARGET = ROOT / "target" / "deps"
STAMP = ROOT / "target" / "stamp"


def main():
    """Install unless the stamp shows that nothing has changed."""
    digest = make_digest()
    if STAMP.exists() and STAMP.read_text() == digest:
        return
    requirements = hashlib.sha256(LOCK_FILE.read_bytes()).hexdigest()
    marker = TARGET / "requirements.sha256"
    if not marker.exists() or marker.read_text() != requirements:
        install_requirements()
        marker.write_text(requirements)
    package = TARGET / PACKAGE.name
    shutil.rmtree(package, ignore_errors=True)
    shutil.copytree(PACKAGE, package, ignore=shutil.ignore_patterns("__pycache__"))
    compile_modules()
    STAMP.write_text(digest)


def make_digest():
    """Return the digest of the sources and of the lock file."""
    digest = hashlib.sha256(LOCK_FILE.read_bytes())
    for path in sorted([*PACKAGE.rglob("*.py"), pathlib.Path(__file__)]):
        digest.update(str(path.relative_to(ROOT)).encode())
        digest.update(path.read_bytes())
    return digest.hexdigest()


def install_requirements():
    """Install the locked requirements."""
    shutil.rmtree(TARGET, ignore_errors=True)
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--no-deps"]
    command += ["--disable-pip-version-check", "--target", str(TARGET)]
    subprocess.run([*command, "-r", str(LOCK_FILE)], check=True)


def compile_modules():
    """Write bytecode that is loaded unchecked, as no module changes at run time."""
    mode = py_compile.PycInvalidationMode.UNCHECKED_HASH
    # A dependency may contain files for other Python versions: errors are ignored.
    compileall.compile_dir(TARGET, quiet=2, workers=1, invalidation_mode=mode)


if __name__ == "__main__":
    main()

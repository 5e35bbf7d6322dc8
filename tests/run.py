"""Run every check and print `N passed, N failed` as the last line."""

import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
FIRST_PORT = int(os.environ.get("JUJUBEPASS_FIRST_PORT", "10000"))
PORTS_PER_FEATURE = 200
PARALLEL_FEATURES = 4
LAST_FEATURE = "bench"
# Run one by one after all others, as they check the memory of whole processes and use
# the processor for themselves.
LONE_FEATURES = ("uncontrolled_clients",)
FEATURE_TIMEOUT_SECONDS = 900
MAX_SHOWN_CHARACTERS = 300


def run_command(name, arguments):
    """Run one Python module and return (name, passed, output)."""
    result = subprocess.run(
        [sys.executable, "-m", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        stdin=subprocess.DEVNULL,
    )
    return name, result.returncode == 0, result.stdout + result.stderr


def run_feature(index, feature):
    """Run one feature file; return its seconds and (scenario, passed, output) rows."""
    began_at = time.monotonic()
    port = FIRST_PORT + index * PORTS_PER_FEATURE
    environment = {**os.environ, "JUJUBEPASS_TEST_PORT": str(port)}
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color", "--format=json"]
        command += [f"--outfile={report}", "--format=progress3", str(feature)]
        try:
            result = subprocess.run(
                command,
                cwd=ROOT,
                capture_output=True,
                text=True,
                env=environment,
                stdin=subprocess.DEVNULL,
                timeout=FEATURE_TIMEOUT_SECONDS,
            )
            output = result.stdout + result.stderr
            rows = read_report(report, feature.stem)
            if result.returncode and all(passed for _, passed in rows):
                rows.append((f"{feature.stem}: run", False))
        except subprocess.TimeoutExpired as error:
            output = str(error)
            rows = [(f"{feature.stem}: run", False)]
    seconds = time.monotonic() - began_at
    return seconds, [(name, passed, output) for name, passed in rows]


def read_report(report, stem):
    """Read the results of scenarios from behave's JSON report."""
    try:
        features = json.loads(report.read_text())
    except (OSError, ValueError):
        return [(f"{stem}: run", False)]
    rows = []
    for feature in features:
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            passed = element.get("status") == "passed"
            # The name of an outline's scenario ends with a space.
            rows.append((f"{stem}: {element['name']}".strip(), passed))
    return rows


def read_known_red():
    """Read the names of checks that may fail because of a known fault.

    The run of a whole feature may not, as its other checks give no results then.
    """
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    names = {line.split("|")[0].strip() for line in lines if "|" in line}
    whole = sorted(name for name in names if name.endswith(": run"))
    if whole:
        raise ValueError(f"KNOWN-RED.txt lists whole features: {whole}")
    return names


def main():
    """Run the chosen checks, print failures and the closing line."""
    chosen = sys.argv[1:]
    features = sorted((ROOT / "tests/features").glob("*.feature"), key=order_feature)
    numbered = list(enumerate(features))
    if chosen:
        numbered = [(i, f) for i, f in numbered if f.stem in chosen]
    results = []
    if not chosen:
        results.append(run_command("format", ["ruff", "format", "--check", "."]))
        results.append(run_command("lint", ["ruff", "check", "."]))
        results.append(run_command("types", ["mypy"]))
    lone = [(i, f) for i, f in numbered if f.stem in LONE_FEATURES]
    others = [pair for pair in numbered if pair not in lone]
    results += run_features(others, PARALLEL_FEATURES)
    results += run_features(lone, 1)
    return report_results(results)


def run_features(numbered, count):
    """Run features, `count` of them at once; return the rows of all."""
    results = []
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        for seconds, rows in pool.map(lambda pair: run_feature(*pair), numbered):
            print(f"{rows[0][0].partition(':')[0]}: {seconds:.0f} s", flush=True)
            results += rows
    return results


def order_feature(feature):
    """Return a sort key that puts LAST_FEATURE last.

    It needs the most ports, and no other feature's ports follow the last ones.
    """
    return feature.stem == LAST_FEATURE, feature.stem


def report_results(results):
    """Print each result and the closing line; return the exit code."""
    known_red = read_known_red()
    shown = set()
    failed = []
    for name, passed, output in results:
        if passed:
            print(f"ok    {name}")
        elif name in known_red:
            print(f"RED   {name} (KNOWN-RED.txt)")
            print_assertions(output)
        else:
            failed.append(name)
            if output not in shown:
                shown.add(output)
                print(output[-12_000:])
            print(f"FAIL  {name}")
            print_assertions(output)
    passed_count = sum(passed for _, passed, _ in results)
    for name in sorted(known_red):
        print(f"known red: {name}")
    print(f"{passed_count} passed, {len(failed)} failed")
    return 1 if failed or not passed_count else 0


def print_assertions(output):
    """Print what failed in a feature, as logs may push it out of what is shown."""
    for line in output.splitlines():
        if line.startswith("ASSERT FAILED"):
            print(f"      {line[:MAX_SHOWN_CHARACTERS]}")


if __name__ == "__main__":
    sys.exit(main())

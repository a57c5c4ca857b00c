"""Run the features and count passed and failed scenarios."""

import json
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
REPORT = ROOT / "build" / "behave.json"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
SUITE_TIMEOUT_S = 1800


def read_known_red():
    """Return a dict of known failing scenarios to their lines in the list."""
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    entries = [
        line for line in lines if line.strip() and not line.startswith("#")
    ]
    return {line.split("|")[0].strip(): line for line in entries}


def run_behave(arguments):
    """Run behave, which writes the JSON report; return the exit code."""
    REPORT.parent.mkdir(exist_ok=True)
    REPORT.unlink(missing_ok=True)
    command = [sys.executable, "-m", "behave", "--no-color"]
    command += ["--no-capture", "-f", "json", "-o", str(REPORT)]
    command += ["-f", "progress", "--tags=not @slow"]
    command += arguments or ["tests"]
    return subprocess.run(
        command, cwd=ROOT, timeout=SUITE_TIMEOUT_S, check=False
    ).returncode


def read_scenarios():
    """Yield (name, status) of each scenario and failed feature hook."""
    features = json.loads(REPORT.read_text(encoding="utf-8"))
    for feature in features:
        if feature["status"] in ("error", "hook_error"):
            yield feature["name"], feature["status"]
        for element in feature.get("elements", ()):
            if element["type"] != "background":
                yield (
                    element["name"].strip(),
                    element.get("status", "undefined"),
                )


def main():
    """Print each known failure and the closing line; return the exit code."""
    code = run_behave(sys.argv[1:])
    known = read_known_red()
    if not REPORT.exists():
        print("behave wrote no report")
        print("0 passed, 1 failed")
        return 1
    scenarios = [
        (name, status)
        for name, status in read_scenarios()
        if status not in ("skipped", "untested")
    ]
    not_passed = [name for name, status in scenarios if status != "passed"]
    for name in not_passed:
        print("known red:" if name in known else "failed:", name)
    failed = [name for name in not_passed if name not in known]
    passed = len(scenarios) - len(not_passed)
    if code and not not_passed:
        failed.append("behave itself")
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())

"""Inject the faults of one seed and check the recorded history."""

import argparse
import collections
import pathlib
import shutil
import signal
import sys
import threading
import time

from tools.chaos import callers
from tools.chaos import client
from tools.chaos import cluster as clusters
from tools.chaos import configuration
from tools.chaos import fault_injection
from tools.chaos import moves
from tools.chaos import observer
from tools.chaos import schedule
from tools.history import checker
from tools.history import record
from tools.processes import Fleet
from tools.processes import ROOT
from tools.processes import StartError

_DURATION_S = 30.0
_CALLER_COUNT = 8
_DRAIN_TIMEOUT_S = 25.0
_READY_TIMEOUT_S = 10.0
_POLL_INTERVAL_S = 0.1
_MAX_EXAMPLES = 3
_MOVE_ACTIONS = ("publish", "stop", "slow")
_HISTORY_FOLDER = ROOT / "build" / "chaos"


def main():
    """Run one seed; return 0 for a clean history, 1 for a violation."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    arguments = _make_parser().parse_args()
    recorder = record.Recorder()
    faults = _make_faults(arguments)
    print(f"seed {arguments.seed}: {len(faults)} faults", flush=True)
    with Fleet() as fleet:
        cluster = clusters.Cluster(fleet, recorder)
        cluster.start()
        stop_failures = _run(arguments, cluster, faults)
        cluster.record_ledgers()
        folder = arguments.history / str(arguments.seed)
        _keep_logs(fleet.folder, folder)
    recorder.dump(folder / "history.jsonl")
    return _print_verdict(arguments.seed, recorder, stop_failures)


def _keep_logs(source, target):
    """Copy the standard error of each process to the history folder."""
    shutil.rmtree(target, ignore_errors=True)
    target.mkdir(parents=True)
    for path in source.glob("*.err"):
        shutil.copy(path, target)


def _make_parser():
    """Return the command-line parser."""
    parser = argparse.ArgumentParser(
        prog="python -m tools.chaos",
        description=__doc__,
        epilog="Example: python -m tools.chaos --seed 7",
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--duration-s",
        type=float,
        default=_DURATION_S,
        help="time during which faults are injected, in seconds",
    )
    parser.add_argument(
        "--move",
        choices=("good", "bad"),
        help=(
            "move the model service to a good or bad version, with only"
            " publications, graceful stops and slow store calls as faults"
        ),
    )
    parser.add_argument(
        "--history",
        type=pathlib.Path,
        default=_HISTORY_FOLDER,
        help="folder that gets the history and the logs, one subfolder a seed",
    )
    return parser


def _make_faults(arguments):
    """Return the faults of a run.

    A run with a version move has only publications, graceful stops and
    slow calls of the store. One more publication at its end makes the run
    last for the whole move.
    """
    if not arguments.move:
        return schedule.make_schedule(
            arguments.seed, arguments.duration_s, clusters.LAYOUT
        )
    faults = schedule.make_schedule(
        arguments.seed, moves.DURATION_S, clusters.LAYOUT
    )
    move_faults = [fault for fault in faults if fault.action in _MOVE_ACTIONS]
    last = schedule.Fault(moves.DURATION_S, "publish", "environment", 0.1)
    return [*move_faults, last]


def _run(arguments, cluster, faults):
    """Send requests while faults are injected; return failed stops."""
    _await_ready(cluster)
    stopped = threading.Event()

    def list_entries():
        return sorted(cluster.get_entry_addresses())

    sender = client.Client(cluster.recorder, cluster.get_entry_addresses)
    threads = [observer.Observer(cluster, stopped)] + [
        callers.Caller(
            f"c{number}",
            f"{arguments.seed}-{number}",
            configuration.TRAFFIC,
            sender,
            list_entries,
            stopped,
        )
        for number in range(_CALLER_COUNT)
    ]
    for thread in threads:
        thread.start()
    if arguments.move:
        moves.start_move(cluster, arguments.move == "bad")
    injector = fault_injection.FaultInjector(
        cluster,
        lambda text: callers.send_through_all(
            sender, configuration.TRAFFIC[0], text, list_entries
        ),
    )
    injector.run(faults)
    stopped.set()
    end_s = time.monotonic() + _DRAIN_TIMEOUT_S
    while time.monotonic() < end_s and _is_busy(threads, sender):
        time.sleep(_POLL_INTERVAL_S)
    return injector.stop_failures


def _await_ready(cluster):
    """Wait until every entry instance is ready for requests."""
    end_s = time.monotonic() + _READY_TIMEOUT_S
    waiting = set(cluster.get_entry_addresses().values())
    while waiting and time.monotonic() < end_s:
        waiting = {a for a in waiting if not observer.is_ready(a)}
        time.sleep(_POLL_INTERVAL_S)
    if waiting:
        raise StartError(f"entry instances not ready: {sorted(waiting)}")


def _is_busy(threads, sender):
    """Return whether a call is open or a thread still runs."""
    return sender.count_open() or any(each.is_alive() for each in threads)


def _print_verdict(seed, recorder, stop_failures):
    """Print counts, violations and the verdict; return the exit code."""
    events = recorder.list_events()
    for name, count in sorted(_count(events).items()):
        print(f"  {name}: {count}")
    versions = configuration.VERSION, configuration.NEW_VERSION
    violations = checker.check(events, versions)
    move_states = {
        (e.move, e.state) for e in events if isinstance(e, record.MoveSeen)
    }
    for move, state in sorted(move_states):
        print(f"  {move}: {state}")
    _print_violations(violations)
    for stop_failure in stop_failures:
        print(f"  VIOLATION stop: {stop_failure}")
    verdict = "violated" if violations or stop_failures else "clean"
    print(
        f"seed {seed}: {verdict},"
        f" {len(violations) + len(stop_failures)} violations"
    )
    return 1 if violations or stop_failures else 0


def _print_violations(violations):
    """Print the number of violations of each rule, with examples."""
    by_rule = collections.defaultdict(list)
    for violation in violations:
        by_rule[violation.rule].append(violation.message)
    for rule, messages in sorted(by_rule.items()):
        print(f"  VIOLATION {rule}: {len(messages)}")
        for message in messages[:_MAX_EXAMPLES]:
            print(f"    {message}")


def _count(events):
    """Return the number of calls for each class, outcome and refusal."""
    kinds = {e.call: e.kind for e in events if isinstance(e, record.Sent)}
    return collections.Counter(
        f"{kinds[event.call]} {event.outcome} {event.ran}"
        f" {event.detail if event.outcome == 'refused' else ''}".strip()
        for event in events
        if isinstance(event, record.Answered)
    )


if __name__ == "__main__":
    sys.exit(main())

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
from tools.chaos import moves
from tools.chaos import observer
from tools.chaos import schedule
from tools.chaos import strikes as strikes_module
from tools.history import checker
from tools.history import record
from tools.processes import Fleet
from tools.processes import ROOT
from tools.processes import StartError

_DURATION_S = 30.0
_CALLERS = 8
_SETTLE_LIMIT_S = 25.0
_READY_LIMIT_S = 10.0
_POLL_S = 0.1
_EXAMPLES = 3
_CALM_ACTIONS = ("publish", "stop", "slow")
_HISTORY = ROOT / "build" / "chaos"


def main():
    """Run one seed; return 0 for a clean history, 1 for a violation."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    arguments = _make_parser().parse_args()
    recorder = record.Recorder()
    strikes = _make_strikes(arguments)
    print(f"seed {arguments.seed}: {len(strikes)} faults", flush=True)
    with Fleet() as fleet:
        cluster = clusters.Cluster(fleet, recorder)
        cluster.start()
        faults = _run(arguments, cluster, strikes)
        cluster.record_ledgers()
        folder = arguments.history / str(arguments.seed)
        _keep_logs(fleet.folder, folder)
    recorder.dump(folder / "history.jsonl")
    return _print_verdict(arguments.seed, recorder, faults)


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
        default=_HISTORY,
        help="folder that gets the history and the logs, one subfolder a seed",
    )
    return parser


def _make_strikes(arguments):
    """Return the faults of a run.

    A run with a version move has only publications, graceful stops and
    slow calls of the store. One more publication at its end makes the run
    last for the whole move.
    """
    if not arguments.move:
        return schedule.make_schedule(
            arguments.seed, arguments.duration_s, clusters.LAYOUT
        )
    strikes = schedule.make_schedule(
        arguments.seed, moves.DURATION_S, clusters.LAYOUT
    )
    calm = [strike for strike in strikes if strike.action in _CALM_ACTIONS]
    last = schedule.Strike(moves.DURATION_S, "publish", "environment", 0.1)
    return [*calm, last]


def _run(arguments, cluster, strikes):
    """Send requests while faults are injected; return failed stops."""
    _await_ready(cluster)
    stopped = threading.Event()

    def list_entries():
        return sorted(cluster.find_entries())

    sender = client.Client(cluster.recorder, cluster.find_entries)
    threads = [observer.Observer(cluster, stopped)] + [
        callers.Caller(
            f"c{number}",
            f"{arguments.seed}-{number}",
            configuration.TRAFFIC,
            sender,
            list_entries,
            stopped,
        )
        for number in range(_CALLERS)
    ]
    for thread in threads:
        thread.start()
    if arguments.move:
        moves.start_move(cluster, arguments.move == "bad")
    striker = strikes_module.Striker(
        cluster,
        lambda text: callers.send_through_all(
            sender, configuration.TRAFFIC[0], text, list_entries
        ),
    )
    striker.run(strikes)
    stopped.set()
    end_s = time.monotonic() + _SETTLE_LIMIT_S
    while time.monotonic() < end_s and _is_busy(threads, sender):
        time.sleep(_POLL_S)
    return striker.faults


def _await_ready(cluster):
    """Wait until every entry instance is ready for requests."""
    end_s = time.monotonic() + _READY_LIMIT_S
    waiting = set(cluster.find_entries().values())
    while waiting and time.monotonic() < end_s:
        waiting = {a for a in waiting if not observer.is_ready(a)}
        time.sleep(_POLL_S)
    if waiting:
        raise StartError(f"entry instances not ready: {sorted(waiting)}")


def _is_busy(threads, sender):
    """Return whether a call is open or a thread still runs."""
    return sender.count_open() or any(each.is_alive() for each in threads)


def _print_verdict(seed, recorder, faults):
    """Print counts, violations and the verdict; return the exit code."""
    events = recorder.list_events()
    for name, count in sorted(_count(events).items()):
        print(f"  {name}: {count}")
    versions = configuration.VERSION, configuration.NEW_VERSION
    found = checker.check(events, versions)
    ends = {
        (e.move, e.state) for e in events if isinstance(e, record.MoveSeen)
    }
    for move, state in sorted(ends):
        print(f"  {move}: {state}")
    _print_violations(found)
    for fault in faults:
        print(f"  VIOLATION stop: {fault}")
    verdict = "violated" if found or faults else "clean"
    print(f"seed {seed}: {verdict}, {len(found) + len(faults)} violations")
    return 1 if found or faults else 0


def _print_violations(found):
    """Print the number of violations of each rule, with examples."""
    by_rule = collections.defaultdict(list)
    for violation in found:
        by_rule[violation.rule].append(violation.message)
    for rule, messages in sorted(by_rule.items()):
        print(f"  VIOLATION {rule}: {len(messages)}")
        for message in messages[:_EXAMPLES]:
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

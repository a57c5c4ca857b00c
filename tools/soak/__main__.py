"""Run one seed of the soak and check what was recorded."""

import argparse
import collections
import functools
import itertools
import random
import shutil
import signal
import sys
import threading

from tools import processes
from tools.soak import checks
from tools.soak import injector as injectors
from tools.soak import records
from tools.soak import schedule
from tools.soak import site as sites
from tools.soak import streams
from tools.soak import traffic
from tools.soak import writers

FOLDER = processes.ROOT / "build" / "soak"
CALLERS_PER_INSTANCE = 2
MAX_SHOWN = 5
"""Number of violations of each rule that are printed."""

MAX_INSTANCES = 40
MAX_SECONDS = 600.0
MAX_STREAM_CALLERS = 400


def main():
    """Run one seed; return 0 without violations, 1 otherwise."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    arguments = _parse_arguments()
    folder = FOLDER / str(arguments.seed)
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    recorder = records.Recorder()
    try:
        injector = _run(arguments, recorder, folder)
    finally:
        recorder.end_all()
        recorder.dump(folder / "history.jsonl")
    found = checks.check(recorder)
    _print_counts(recorder, injector)
    return 1 if _print_violations(arguments.seed, found, folder) else 0


def _parse_arguments():
    """Return the arguments of the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m tools.soak",
        description=__doc__,
        epilog="Example: python -m tools.soak --seed 7 --seconds 120",
    )
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument(
        "--seconds", type=float, default=70.0, help="time with faults"
    )
    parser.add_argument(
        "--instances", type=int, default=4, help="number of instances"
    )
    parser.add_argument(
        "--streams",
        type=int,
        default=0,
        help="number of callers that read streams while instances stop; they"
        " replace the other callers and faults",
    )
    arguments = parser.parse_args()
    if not 2 <= arguments.instances <= MAX_INSTANCES:
        parser.error(f"--instances must be from 2 to {MAX_INSTANCES}")
    if not 2 * schedule.SETTLING_S < arguments.seconds <= MAX_SECONDS:
        parser.error(f"--seconds must be from 11 to {MAX_SECONDS:g}")
    if not 0 <= arguments.streams <= MAX_STREAM_CALLERS:
        parser.error(f"--streams must be from 0 to {MAX_STREAM_CALLERS}")
    return arguments


def _run(arguments, recorder, folder):
    """Run the site and carry out the steps of the seed."""
    generator = random.Random(f"writers-{arguments.seed}")
    stopped = threading.Event()
    site = sites.Site(arguments.instances, recorder, folder)
    if arguments.streams:
        make_schedule = schedule.make_stop_schedule
        make_callers = _make_stream_callers
        endpoints = writers.Endpoints(
            site.server,
            recorder,
            generator,
            functools.partial(streams.StreamEndpoint, arguments.seed),
            per_zone=schedule.ENDPOINTS // len(sites.ZONES),
            slots=streams.SLOTS,
        )
        routes = (streams.make_route(),)
    else:
        make_schedule = schedule.make_schedule
        make_callers = _make_callers
        endpoints = writers.Endpoints(site.server, recorder, generator)
        routes = ()
    operator = writers.Operator(site.server, recorder, generator, routes)
    try:
        operator.configure()
        endpoints.tick(recorder.now_s())
        site.start_all()
        callers = make_callers(arguments, site, operator, recorder, stopped)
        for each in callers:
            each.start()
        injector = injectors.Injector(site, operator, endpoints, recorder)
        injector.run(
            make_schedule(
                arguments.seed, arguments.seconds, arguments.instances
            ),
            arguments.seconds,
        )
        stopped.set()
        for each in callers:
            each.join(each.timeout_s)
        return injector
    finally:
        stopped.set()
        site.close()
        endpoints.close()


def _make_callers(arguments, site, operator, recorder, stopped):
    """Return callers of each instance."""
    return [
        traffic.Caller(
            site,
            instance,
            operator,
            recorder,
            f"{arguments.seed}-{instance.name}-{number}",
            stopped,
        )
        for instance in site.instances
        for number in range(CALLERS_PER_INSTANCE)
    ]


def _make_stream_callers(arguments, site, operator, recorder, stopped):
    """Return callers that read streams, spread over the instances."""
    instances = itertools.cycle(site.instances)
    return [
        streams.StreamCaller(
            site,
            next(instances),
            operator,
            recorder,
            f"{arguments.seed}-stream-{number}",
            stopped,
        )
        for number in range(arguments.streams)
    ]


def _print_violations(seed, found, folder):
    """Write all violations and print some; return how many count."""
    lines = [
        f"{'VIOLATION' if each.is_counted else 'not counted:'}"
        f" seed {seed} at {each.at_s:.2f} s"
        f" {each.rule}: {each.message}"
        for each in found
    ]
    (folder / "violations.txt").write_text("".join(f"{e}\n" for e in lines))
    shown = collections.Counter()
    for each, line in zip(found, lines, strict=True):
        shown[each.rule] += 1
        if shown[each.rule] <= MAX_SHOWN:
            print(line)
    counted = sum(each.is_counted for each in found)
    rules = ", ".join(f"{n} {rule}" for rule, n in sorted(shown.items()))
    print(
        f"seed {seed}: {counted} violations counted"
        f" ({rules or 'none seen'}), logs in {folder}"
    )
    return counted


def _print_counts(recorder, injector):
    """Print how much has happened, and how late the steps were."""
    answers = collections.Counter(
        each.status for each in recorder.select(records.Call)
    )
    duties = collections.Counter(
        each.duty for each in recorder.select(records.DutyCall)
    )
    ends = collections.Counter(
        f"{each.fate} {each.end}"
        for each in recorder.select(records.StreamRun)
    )
    if ends:
        print(f"runs of streams: {dict(sorted(ends.items()))}")
    print(f"steps: {dict(sorted(injector.done.items()))}")
    print(f"answers: {dict(sorted(answers.items()))}")
    print(f"calls of duties: {dict(duties)}")
    print(f"latest step: {injector.most_late_s:.2f} s late")


if __name__ == "__main__":
    sys.exit(main())

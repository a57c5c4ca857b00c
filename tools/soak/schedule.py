"""Seeded schedule of the faults and changes of a run."""

import itertools
import random

import attrs

__all__ = [
    "HOLDER",
    "SETTLING_S",
    "Step",
    "make_schedule",
    "make_stop_schedule",
]

HOLDER = -1
"""Target that stands for the instance that performs the duties."""

SETTLING_S = 5.0
"""Time without new faults at the begin and at the end, in seconds."""

STORM_S = 14.0
CALM_S = 9.0
"""Durations of the alternating spells with and without unplanned faults.

A calm spell is long enough for bounds that hold only some seconds after the
last fault.
"""

RELEASE_LEAD_S = 0.8
"""Longest time from a stop of the holder to a copy of the store, in s.

A free lease is taken within a second.
"""

STOP_GAP_S = (6.0, 11.0)
"""Time between stops of two instances, in seconds.

The shortest is below the grace time, so that a caller may come back to an
instance that stops next.
"""

PAUSE_S = (1.2, 2.5)
"""Time for which an endpoint pauses all its streams, in seconds."""

PAUSE_LEAD_S = (-1.5, 4.0)
"""Time from a stop to a pause beside it, in seconds."""

FULL_S = (0.5, 3.0)
"""Time for which an endpoint refuses streams as full, in seconds."""

PAUSES_PER_STOP = 2
ENDPOINTS = 6

_STORE_ACTIONS = ("restore",) * 6 + ("down", "lose answers", "refuse")
_BESIDE_RESTORE = ("stop", "stop twice", "freeze", "kill", "freeze others")
_PROCESS_ACTIONS = ("kill", "stop", "freeze", "freeze")
_LEAVING_WAYS = ("entry", "entry and answers", "removed", "answers")


@attrs.frozen(order=True)
class Step:
    """One action at a time of the run.

    Parameters
    ----------
    at_s : float
        Time since the begin of the run, in seconds.
    action : str
        What to do.
    target : int
        Index of an instance or endpoint, or `HOLDER`; of a copy of the store
        for the actions on copies.
    detail : str
        Way in which an endpoint leaves.
    duration_s : float
        Duration of a fault that ends, in seconds.
    """

    at_s: float
    action: str
    target: int = 0
    detail: str = ""
    duration_s: float = 0.0


def make_schedule(seed, duration_s, count):
    """Return the steps of a seed in order.

    Parameters
    ----------
    seed : int
        Seed of the schedule.
    duration_s : float
        Duration of the run, in seconds.
    count : int
        Number of instances.
    """
    generator = random.Random(f"soak-{seed}")
    end_s = duration_s - SETTLING_S
    series = (
        _make_store_faults(generator, end_s, count),
        _make_process_faults(generator, end_s, count),
        _make_changes(generator, end_s),
    )
    return sorted(itertools.chain.from_iterable(series))


def make_stop_schedule(seed, duration_s, count):
    """Return stops of instances, with pausing and full endpoints around them.

    All instances but one are stopped in turn.

    Parameters
    ----------
    seed : int
        Seed of the schedule.
    duration_s : float
        Duration of the run, in seconds.
    count : int
        Number of instances.
    """
    generator = random.Random(f"streams-{seed}")
    end_s = duration_s - 2 * SETTLING_S
    times = _list_times(generator, end_s, *STOP_GAP_S)
    stops = (
        _make_stop(generator, at_s, number % (count - 1))
        for number, at_s in enumerate(times)
    )
    return sorted(itertools.chain.from_iterable(stops))


def _make_stop(generator, at_s, target):
    """Yield a stop of an instance, and the faults of endpoints around it."""
    yield Step(at_s, "stop", target)
    faults = (*(("pause", PAUSE_S),) * PAUSES_PER_STOP, ("fill", FULL_S))
    for action, range_s in faults:
        begin_s = at_s + generator.uniform(*PAUSE_LEAD_S)
        endpoint = generator.randrange(ENDPOINTS)
        duration_s = generator.uniform(*range_s)
        yield Step(begin_s, action, endpoint, "", duration_s)


def _is_storm(at_s):
    """Return whether unplanned faults may begin at a time."""
    return (at_s - SETTLING_S) % (STORM_S + CALM_S) < STORM_S


def _list_times(generator, end_s, shortest_s, longest_s):
    """Return times with random gaps until an end."""
    gaps = (generator.uniform(shortest_s, longest_s) for _ in range(10_000))
    times = itertools.accumulate(gaps, initial=SETTLING_S)
    return list(itertools.takewhile(lambda at_s: at_s < end_s, times))[1:]


def _make_store_faults(generator, end_s, count):
    """Yield faults of the store: restores, outages and lost answers."""
    for number, at_s in enumerate(_list_times(generator, end_s, 3.0, 7.0)):
        action = generator.choice(_STORE_ACTIONS)
        duration_s = generator.uniform(0.05, 1.0)
        target = generator.choice((HOLDER, generator.randrange(count)))
        restore = list(_make_restore(generator, number, at_s, duration_s))
        if not _is_storm(at_s):
            continue
        if action == "restore":
            yield from restore
        elif action == "refuse":
            yield Step(at_s, action, target, "", duration_s + 2.0)
        else:
            yield Step(at_s, action, duration_s=duration_s)


def _make_restore(generator, number, at_s, down_s):
    """Yield a copy, an outage and the restore from the copy at its end.

    In half of the cases there is a fault beside it: the holder of the duties
    fails between the copy and the restore, or it stops so shortly before the
    copy that the lease may be free there (and its successor stops, too, just
    after the restore), or another instance is frozen.
    """
    age_s = generator.uniform(0.5, 6.0)
    copied_s = at_s - age_s
    action = generator.choice(_BESIDE_RESTORE)
    disturbed_s = generator.uniform(copied_s, at_s)
    if generator.random() < 0.5:
        if action == "freeze others":
            # Its counts of requests arrive after they have been reported.
            frozen_s = generator.uniform(4.0, 7.0)
            yield Step(copied_s - 1.0, action, duration_s=frozen_s)
        elif action.startswith("stop"):
            part = (at_s - disturbed_s) / age_s
            yield Step(copied_s - RELEASE_LEAD_S * part, "stop", HOLDER)
            if action == "stop twice":
                yield Step(at_s + 1.0 + part, "stop", HOLDER)
        else:
            yield Step(disturbed_s, action, HOLDER, "", at_s - disturbed_s)
    yield Step(copied_s, "copy", number)
    yield Step(at_s - down_s, "down", duration_s=down_s)
    yield Step(at_s, "restore", number)


def _make_process_faults(generator, end_s, count):
    """Yield signals to instances, half of them to the duties' holder."""
    for at_s in _list_times(generator, end_s, 3.0, 9.0):
        action = generator.choice(_PROCESS_ACTIONS)
        target = generator.choice((HOLDER, generator.randrange(count)))
        duration_s = generator.uniform(0.2, 6.0)
        if action == "stop" or _is_storm(at_s):
            yield Step(at_s, action, target, "", duration_s)


def _make_changes(generator, end_s):
    """Yield new configurations and endpoints that leave."""
    for at_s in _list_times(generator, end_s, 2.0, 5.0):
        yield Step(at_s, "configure")
    for at_s in _list_times(generator, end_s, 5.0, 9.0):
        way = generator.choice(_LEAVING_WAYS)
        yield Step(at_s, "leave", generator.randrange(4), way)

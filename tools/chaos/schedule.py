"""Seeded schedule of the faults of a run."""

import itertools
import random

import attrs

__all__ = ["Fault", "Layout", "make_schedule"]

_GAP_RANGE_S = (0.5, 1.5)
_RECOVERY_S = 2.0
_START_DELAY_S = 1.0
_ANY_ENTRY = "any entry"
_POISON = "poison"
_OTHER_TARGETS = ("store", "environment", _POISON, _ANY_ENTRY)


@attrs.frozen
class Layout:
    """Names of the processes and failure domains of a run.

    Parameters
    ----------
    engines, plains, entries : tuple of str
        Names of model engines, plain services and entry instances; those
        at the same index of each tuple share a failure domain.
    domains : tuple of str
        Names of the failure domains, in the order of the other tuples.
    """

    engines: tuple
    plains: tuple
    entries: tuple
    domains: tuple

    def list_names(self, group):
        """Return the names of the targets of a group."""
        match group:
            case "engine":
                return self.engines
            case "plain":
                return self.plains
            case "endpoint":
                return self.engines + self.plains
            case "entry":
                return self.entries
            case "domain":
                return self.domains
            case _:
                return (group,)

    def list_members(self, domain):
        """Return the processes of a failure domain."""
        domain_index = self.domains.index(domain)
        names = self.engines, self.plains, self.entries
        return tuple(group[domain_index] for group in names)


@attrs.frozen
class Fault:
    """One fault or disruptive action of a schedule.

    Parameters
    ----------
    at_s : float
        Start of the fault, in seconds after the start of the run.
    action : str
        Name of the fault or action.
    target : str
        Process, failure domain, ``store``, ``environment`` or
        ``poison``, which affects every engine.
    duration_s : float
        Duration of the fault, in seconds.
    count : int
        Number of calls affected, for faults that count calls.
    """

    at_s: float
    action: str
    target: str
    duration_s: float
    count: int = 1


@attrs.frozen
class _Action:
    """An action, its group of targets and its range of durations."""

    name: str
    group: str
    min_duration_s: float
    max_duration_s: float


_ACTIONS = (
    _Action("kill", "engine", 1.0, 2.0),
    _Action("kill", "plain", 1.0, 2.0),
    _Action("kill", "entry", 1.0, 2.0),
    _Action("crash_booked", "plain", 2.0, 3.0),
    _Action("freeze", "engine", 1.0, 4.0),
    _Action("freeze", "plain", 1.0, 4.0),
    _Action("freeze", "entry", 2.0, 5.0),
    _Action("outage", "store", 1.0, 4.0),
    _Action("slow", "store", 1.0, 2.0),
    _Action("drop_answer", "store", 1.0, 1.0),
    _Action("stale_reads", "store", 1.0, 1.0),
    _Action("silent", "endpoint", 2.0, 4.0),
    _Action("drop_answer", "endpoint", 1.0, 1.0),
    _Action("truncate", "endpoint", 1.0, 1.0),
    _Action("cross", "endpoint", 1.0, 1.0),
    _Action("refuse", "endpoint", 1.0, 1.0),
    _Action("reclaim_instance", "endpoint", 4.0, 5.0),
    _Action("reclaim_domain", "domain", 4.0, 6.0),
    _Action("stop", "entry", 3.0, 4.0),
    _Action("publish", "environment", 0.1, 0.1),
    _Action("publish", "environment", 0.1, 0.1),
    _Action("poison", _POISON, 5.0, 6.0),
)


def make_schedule(seed, duration_s, layout):
    """Return the faults of a run, sorted by time.

    Parameters
    ----------
    seed : int
        The same seed gives the same schedule.
    duration_s : float
        Every fault ends before this time, in seconds after the start.
    layout : Layout
        Processes and failure domains that can be targets.

    Notes
    -----
    Two faults of one target are separated by a recovery time, and at most
    one entry instance is unavailable at a time, so that callers can always
    retry at another one.
    """
    generator = random.Random(seed)
    available_from_s = dict.fromkeys(_list_targets(layout), _START_DELAY_S)
    faults = []
    at_s = _START_DELAY_S
    for action in _list_actions(generator):
        if at_s >= duration_s:
            return faults
        fault = _make_fault(generator, at_s, action, layout)
        names = _list_affected(fault, layout)
        end_s = at_s + fault.duration_s
        if end_s < duration_s and all(
            available_from_s[n] <= at_s for n in names
        ):
            available_from_s.update(dict.fromkeys(names, end_s + _RECOVERY_S))
            faults.append(fault)
            at_s += generator.uniform(*_GAP_RANGE_S)
        else:
            at_s += 0.1
    return faults


def _list_targets(layout):
    """Return the names of all processes and shared targets of faults."""
    processes = layout.engines + layout.plains + layout.entries
    return (*processes, *_OTHER_TARGETS)


def _list_actions(generator):
    """Yield every action in random order, endlessly."""
    for _ in itertools.count():
        yield from generator.sample(_ACTIONS, len(_ACTIONS))


def _make_fault(generator, at_s, action, layout):
    """Return a fault with a random target, duration and count."""
    return Fault(
        at_s=round(at_s, 2),
        action=action.name,
        target=generator.choice(layout.list_names(action.group)),
        duration_s=round(
            generator.uniform(action.min_duration_s, action.max_duration_s), 2
        ),
        count=generator.randint(1, 3),
    )


def _list_affected(fault, layout):
    """Return the names of the targets that a fault affects."""
    if fault.target == _POISON:
        names = (_POISON, *layout.engines)
    elif fault.target in layout.domains:
        names = layout.list_members(fault.target)
    else:
        names = (fault.target,)
    if set(names) & set(layout.entries):
        return (*names, _ANY_ENTRY)
    return names

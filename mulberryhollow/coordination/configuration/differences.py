"""Differences between a configuration and the version in force."""

import enum
import itertools

import attrs

from mulberryhollow.coordination.configuration.change import list_changes
from mulberryhollow.coordination.configuration.finding import Finding
from mulberryhollow.coordination.configuration.finding import Severity

__all__ = ["list_catalogue_differences", "list_environment_differences"]

_REMEDY = "correct it if it is not intended"

_SECTION_ORDER = ("council", "client_account", "environment", "service")
"""Kinds of sections: identities, limits, and what they lead to."""


def list_catalogue_differences(before, after):
    """Return what differs, in the order in which it acts on a request.

    Parameters
    ----------
    before, after : state.catalogue.Catalogue
        The catalogue in force and the new one.

    Returns
    -------
    tuple of Finding
        Notes on accounts and keys, quotas, limits, routes and services, and
        an error if the new number would not be accepted.
    """
    old_accounts = _index(before.accounts or ())
    new_accounts = _index(after.accounts or ())
    kept = [name for name in new_accounts if name in old_accounts]
    old_quotas = {name: old_accounts[name].quota for name in kept}
    new_quotas = {name: new_accounts[name].quota for name in kept}
    return tuple(
        itertools.chain(
            _check_number(before, after),
            _compare_key_use(before, after),
            _compare("account", old_accounts, new_accounts),
            _compare("quota", old_quotas, new_quotas),
            _compare("limits", {"": before.limits}, {"": after.limits}),
            _compare("route", _index(before.routes), _index(after.routes)),
            _compare("service", before.services, after.services),
        )
    )


def list_environment_differences(before, after):
    """Return a note on each section of a document that differs.

    Parameters
    ----------
    before, after : state.environment.Environment
        The document in force and the new one.

    Returns
    -------
    tuple of Finding
    """
    headings = [heading for heading, _ in list_changes(before, after)]
    headings.sort(key=lambda each: _SECTION_ORDER.index(each.split()[0]))
    return tuple(_note(heading, "differs") for heading in headings)


def _note(entry, message):
    """Return a note."""
    return Finding(Severity.NOTE, entry.rstrip(), message, _REMEDY)


def _index(entries):
    """Return entries by name."""
    return {each.name: each for each in entries}


def _check_number(before, after):
    """Yield an error if instances would ignore the new number."""
    if after.digest != before.digest and after.number <= before.number:
        yield Finding(
            Severity.ERROR,
            "version",
            f"{after.number} is not above {before.number}, which is in force",
            "give a higher version",
        )


def _compare_key_use(before, after):
    """Yield a note if keys become or cease to be required."""
    was_needed, is_needed = (
        each.accounts is not None for each in (before, after)
    )
    if was_needed != is_needed:
        change = "are now required" if is_needed else "are no longer required"
        yield _note("accounts", f"keys {change}")


def _compare(kind, before, after):
    """Yield a note on each entry that was added, removed or changed."""
    for name in {**before, **after}:
        old, new = before.get(name), after.get(name)
        entry = f"{kind} {name}"
        if old is None:
            yield _note(entry, "added")
        elif new is None:
            yield _note(entry, "removed")
        elif changes := list(_list_field_changes(old, new)):
            yield _note(entry, "; ".join(changes))


def _list_field_changes(old, new):
    """Yield a text for each field that differs between two entries."""
    for field in attrs.fields(type(new)):
        sides = [getattr(each, field.name) for each in (old, new)]
        match field.name:
            case _ if sides[0] == sides[1]:
                continue
            case "quota":
                continue  # Quotas are a group of their own.
            case "keys":
                # Keys are secrets: only their numbers are shown.
                was, is_now = sides
                added, removed = len(is_now - was), len(was - is_now)
                yield f"keys: {added} added, {removed} removed"
            case name:
                was, is_now = map(_render, sides)
                yield f"{name} {was} -> {is_now}"


def _render(value):
    """Return a value of a field as text."""
    match value:
        case None:
            return "not set"
        case enum.Enum():
            return value.value
        case frozenset():
            return ", ".join(sorted(value))
        case tuple():
            return ", ".join(map(_render, value))
        case dict():
            items = value.items()
            return ", ".join(f"{key} {_render(each)}" for key, each in items)
        case _ if attrs.has(type(value)):
            return f"({_render(attrs.asdict(value, recurse=False))})"
        case _:
            return str(value)

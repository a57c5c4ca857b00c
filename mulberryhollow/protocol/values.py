"""Converters of document values, which raise a fault with a remedy."""

import enum
import math
import re

from mulberryhollow.state import environment

__all__ = [
    "NAME_PATTERN",
    "NAME_REMEDY",
    "ValueFaultError",
    "convert_classes",
    "convert_key_hash",
    "convert_kind",
    "convert_name",
    "convert_names",
    "convert_positive",
]

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
NAME_REMEDY = (
    "use 1 to 63 of a-z, 0-9, '.', '_' and '-', beginning with a letter or"
    " digit"
)

_KEY_HASH = re.compile(r"[0-9a-f]{16}(?:[0-9a-f]{16})?:[0-9a-f]{64}")


class ValueFaultError(Exception):
    """A value cannot be converted.

    Parameters
    ----------
    message : str
        What is wrong with the value.
    remedy : str
        What the operator can do to correct the value.
    """

    def __init__(self, message, remedy):
        super().__init__(message)
        self.message = message
        self.remedy = remedy


def convert_name(text):
    """Return `text` if it is a valid name."""
    if NAME_PATTERN.fullmatch(text) is None:
        raise ValueFaultError(f"{text!r} is not a name", NAME_REMEDY)
    return text


def convert_names(text):
    """Return a tuple of names from comma-separated text; at least one."""
    names = tuple(convert_name(item.strip()) for item in text.split(","))
    if len(set(names)) < len(names):
        raise ValueFaultError("repeats a name", "list each name once")
    return names


def convert_positive(text):
    """Return a finite number above zero."""
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if not (math.isfinite(number) and number > 0):
        raise ValueFaultError(
            f"{text!r} is not above zero", "write a number > 0"
        )
    return number


def convert_key_hash(text):
    """Return `text` if it is a salted key hash."""
    if _KEY_HASH.fullmatch(text) is None:
        raise ValueFaultError(
            "is not salt:digest in hexadecimal",
            "write what `mulberryhollow hash-key` prints",
        )
    return text


def convert_kind(text):
    """Return the ServiceKind that `text` names."""
    return _convert_member(environment.ServiceKind, text)


def convert_classes(text):
    """Return a tuple of RequestClass from comma-separated text."""
    classes = tuple(
        _convert_member(environment.RequestClass, item.strip())
        for item in text.split(",")
    )
    if len(set(classes)) < len(classes):
        raise ValueFaultError("repeats a class", "list each class once")
    return classes


def _convert_member(kind: type[enum.Enum], text):
    """Return the member of enumeration `kind` whose value is `text`."""
    try:
        return kind(text)
    except ValueError as error:
        values = ", ".join(member.value for member in kind)
        raise ValueFaultError(
            f"{text!r} is unknown", f"use one of: {values}"
        ) from error

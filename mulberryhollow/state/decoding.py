"""Decoding of JSON text, numbers and names that other programs wrote."""

import contextlib
import json
import re

__all__ = [
    "MALFORMED",
    "check_address",
    "check_name",
    "convert_errors",
    "decode_json",
    "decode_json_parts",
    "encode_json",
    "get_integer",
    "get_number",
    "parse_count",
]

MAX_REASON = 200
"""Maximum length of the reason in an error, in characters.

A reason quotes the malformed value, which can be as long as the message.
"""

MAX_HOST = 253
"""Maximum length of a host name, in characters."""

MAX_PORT = 65535

MAX_NUMBER = 10**15
"""Largest number that is accepted; floats hold all integers up to there."""

MAX_COUNT_DIGITS = 15
"""Maximum number of digits of a count in text."""

_MALFORMED_ERRORS = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
_DECODER = json.JSONDecoder()
MAX_NAME = 255
"""Maximum length of a name, in characters."""

_HOST = re.compile(
    r"[A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63})*|\[[0-9A-Fa-f:.]+\]"
)
_PORT = re.compile(r"[1-9][0-9]{0,4}")
_SPACE = re.compile(r"[ \t\n\r]*")
_STRING = r'"(?:[^"\\]++|\\.)*+"'
_SCALAR = re.compile(rf"{_STRING}|[^\s\[\]{{}},:\"]+", re.DOTALL)
_BRACKETS = re.compile(rf"{_STRING}|[\[{{]+|[\]}}]+", re.DOTALL)


class _Malformed:
    """Type of `MALFORMED`, which no codec of JSON accepts."""

    def __repr__(self):
        return "MALFORMED"


MALFORMED = _Malformed()
"""Stands for a part of a JSON text that cannot be decoded."""


@contextlib.contextmanager
def convert_errors(what, *more):
    """Turn each error of decoding malformed values into a ValueError.

    Parameters
    ----------
    what : str
        What is decoded, for the message.
    *more : type
        Further exceptions that the decoding raises.

    Examples
    --------
    >>> with convert_errors("pair"):
    ...     [][1]
    Traceback (most recent call last):
    ValueError: malformed pair: IndexError: list index out of range
    """
    try:
        yield
    except (*_MALFORMED_ERRORS, *more) as error:
        # The repr of a UnicodeDecodeError would quote the whole message.
        reason = f"{type(error).__name__}: {error}"[:MAX_REASON]
        raise ValueError(f"malformed {what}: {reason}") from error


def decode_json(data):
    """Return the value in a JSON text.

    Raises
    ------
    ValueError
        Also for brackets that are nested too deeply.
    """
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError(f"RecursionError: {error}") from error


def encode_json(value):
    """Return a decoded value as JSON bytes.

    Raises
    ------
    ValueError
        When it holds `MALFORMED`, text that is no Unicode, or is nested too
        deeply.
    """
    with convert_errors("value"):
        text = json.dumps(value)
        if "\\ud" in text:
            # Only a pair of surrogates is a character.
            json.dumps(value, ensure_ascii=False).encode()
        return text.encode()


def decode_json_parts(data, levels):
    """Return the value in a JSON text, with `MALFORMED` for unusable parts.

    Parameters
    ----------
    data : bytes
        The text.
    levels : int
        Number of outer lists and objects whose members are decoded one by
        one if they cannot be decoded as a whole.

    Raises
    ------
    ValueError
        When the text as a whole is malformed.

    Notes
    -----
    Bytes that are not UTF-8 become lone surrogates. The time is proportional
    to the length of the text and to the levels, and nothing recurses deeper
    than the levels.
    """
    text = data.decode("utf-8", "surrogateescape")
    try:
        return decode_json(text)
    except ValueError:
        begin = _skip_space(text, 0)
    value, end = _read(text, begin, levels)
    if value is MALFORMED or _skip_space(text, end) != len(text):
        raise ValueError("not a JSON text")
    return value


def _read(text, begin, levels):
    """Return the value that begins at an index, and the index of its end."""
    with contextlib.suppress(ValueError, RecursionError):
        return _DECODER.raw_decode(text, begin)
    if levels and text.startswith(("[", "{"), begin):
        with contextlib.suppress(ValueError):
            return _read_members(text, begin, levels)
    return MALFORMED, _find_end(text, begin)


def _read_members(text, begin, levels):
    """Return the list or object that begins at an index, and its end."""
    is_object = text[begin] == "{"
    members = []
    delimiter, at = ",", begin + 1
    while delimiter == ",":
        key, at = None, _skip_space(text, at)
        if is_object:
            key, at = _read_key(text, at)
        value, at = _read(text, at, levels - 1)
        members.append((key, value))
        at = _skip_space(text, at)
        delimiter = text[at : at + 1]
        at += 1
    if delimiter != ("}" if is_object else "]"):
        raise ValueError("a list or object has no end")
    if is_object:
        return dict(members), at
    return [value for _, value in members], at


def _read_key(text, begin):
    """Return the key that begins at an index, and the index of its value."""
    if not text.startswith('"', begin):
        raise ValueError("a key is no string")
    key, at = _DECODER.raw_decode(text, begin)
    at = _skip_space(text, at)
    if not text.startswith(":", at):
        raise ValueError("a key has no value")
    return key, _skip_space(text, at + 1)


def _find_end(text, begin):
    """Return the end of the value that begins at an index, without parsing.

    Only strings and brackets are told apart.
    """
    if not text.startswith(("[", "{"), begin):
        found = _SCALAR.match(text, begin)
        if found is None:
            raise ValueError("a value is missing")
        return found.end()
    depth = 0
    for found in _BRACKETS.finditer(text, begin):
        count = found.end() - found.start()
        match text[found.start()]:
            case "[" | "{":
                depth += count
            case "]" | "}" if count >= depth:
                return found.start() + depth
            case "]" | "}":
                depth -= count
    raise ValueError("a list or object has no end")


def _skip_space(text, begin):
    """Return the index of the first character that is no white space."""
    return _SPACE.match(text, begin).end()


def get_number(fields, name, default=None, lowest=0, highest=MAX_NUMBER):
    """Return a number among the fields of an object.

    Parameters
    ----------
    fields : dict
        The fields.
    name : str
        Name of the field.
    default : float or None
        Value of a field that is missing or null; None if it is required.
    lowest, highest : float
        Smallest and largest value.

    Raises
    ------
    KeyError, TypeError, ValueError
    """
    value = fields[name] if default is None else fields.get(name)
    if value is None and default is not None:
        return default
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise TypeError(f"{name} is {value!r}")
    if not lowest <= value <= highest:
        raise ValueError(f"{name} is out of range: {value!r}")
    return value


def get_integer(fields, name, default=None, lowest=0, highest=MAX_NUMBER):
    """Return an integer among the fields of an object, as `get_number`."""
    value = get_number(fields, name, default, lowest, highest)
    if not isinstance(value, int):
        raise TypeError(f"{name} is {value!r}")
    return value


def check_name(name, what):
    """Return a name that can be logged and sent to others.

    Raises
    ------
    TypeError, ValueError
        When it is no text, empty, too long or not printable.
    """
    if not isinstance(name, str):
        raise TypeError(f"{what} is {name!r}")
    if not (0 < len(name) <= MAX_NAME and name.isprintable()):
        raise ValueError(f"{what} is no name: {name!r}")
    return name


def check_address(address, what):
    """Return an address; raise TypeError or ValueError if not HOST:PORT."""
    host, _, port = check_name(address, what).rpartition(":")
    if not (len(host) <= MAX_HOST and _HOST.fullmatch(host)):
        raise ValueError(f"{what} has no host: {address!r}")
    if not (_PORT.fullmatch(port) and int(port) <= MAX_PORT):
        raise ValueError(f"{what} has no port: {address!r}")
    return address


def parse_count(text):
    """Return the whole number of 0 or more in a text; None for other text."""
    text = text.strip()
    is_count = text.isascii() and text.isdecimal()
    return int(text) if is_count and len(text) <= MAX_COUNT_DIGITS else None

"""Parser of INI text that reports every syntax fault."""

import configparser

from mulberryhollow.coordination.configuration import Fault
from mulberryhollow.errors import ConfigurationError

__all__ = ["read_sections"]

_MAX_SYNTAX_FAULTS = 20


def read_sections(text):
    """Return the sections of an INI text and its syntax faults.

    Parameters
    ----------
    text : str
        The text; keys are case-sensitive and ``=`` is the delimiter.

    Returns
    -------
    sections : dict
        Section name to a dict of key to text, without the faulty lines.
    faults : list of Fault
        Duplicate sections and keys, and lines that are not INI.

    Raises
    ------
    ConfigurationError
        When 20 syntax faults were found; the rest is not parsed.

    Notes
    -----
    `configparser` stops at the first duplicate, so each faulty line is
    replaced and the whole text is parsed again, at most 20 times.
    """
    lines = text.split("\n")
    faults = []
    replaced = set()
    while len(faults) < _MAX_SYNTAX_FAULTS:
        parser = _make_parser()
        try:
            parser.read_string("\n".join(lines))
        except configparser.Error as error:
            faults.extend(_replace_faulty_lines(error, lines, replaced))
        else:
            sections = _copy_sections(parser, replaced)
            return sections, faults
    raise ConfigurationError(faults)


def _make_parser():
    """Return a strict parser without interpolation and default section."""
    parser = configparser.ConfigParser(
        interpolation=None, default_section="", delimiters=("=",)
    )
    parser.optionxform = str
    return parser


def _copy_sections(parser, replaced):
    """Return the parsed sections except those of replaced headers."""
    names = [name for name in parser.sections() if name not in replaced]
    return {name: dict(parser.items(name)) for name in names}


def _replace_faulty_lines(error, lines, replaced):
    """Replace the lines that a parser error names; return their faults."""
    match error:
        case configparser.DuplicateSectionError():
            header = f"duplicate at line {error.lineno}"
            replaced.add(header)
            lines[error.lineno - 1] = f"[{header}]"
            return [_make_duplicate(error.section, "", error.lineno)]
        case configparser.DuplicateOptionError():
            lines[error.lineno - 1] = ""
            return [_make_duplicate(error.section, error.option, error.lineno)]
        case configparser.MissingSectionHeaderError():
            numbers = [error.lineno]
        case configparser.ParsingError():
            numbers = [number for number, _line in error.errors]
        case _:
            raise error
    for number in numbers:
        lines[number - 1] = ""
    return [_make_syntax_fault(number) for number in numbers]


def _make_duplicate(section, key, number):
    """Return the fault of a section or key that is repeated."""
    return Fault(
        section,
        key,
        f"is repeated at line {number}",
        "keep one of the two",
    )


def _make_syntax_fault(number):
    """Return the fault of a line that is not INI syntax."""
    return Fault(
        "",
        "",
        f"line {number} is neither a section nor a key with a value",
        "write [section] lines and key = value lines",
    )

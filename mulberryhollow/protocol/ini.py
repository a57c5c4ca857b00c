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
    replaced_headers = set()
    while len(faults) < _MAX_SYNTAX_FAULTS:
        parser = _make_parser()
        try:
            parser.read_string("\n".join(lines))
        except configparser.Error as error:
            faults.extend(
                _replace_faulty_lines(error, lines, replaced_headers)
            )
        else:
            sections = _copy_sections(parser, replaced_headers)
            return sections, faults
    raise ConfigurationError(faults)


def _make_parser():
    """Return a strict parser without interpolation and default section."""
    parser = configparser.ConfigParser(
        interpolation=None, default_section="", delimiters=("=",)
    )
    parser.optionxform = str
    return parser


def _copy_sections(parser, replaced_headers):
    """Return the parsed sections except those of replaced headers."""
    names = [
        name for name in parser.sections() if name not in replaced_headers
    ]
    return {name: dict(parser.items(name)) for name in names}


def _replace_faulty_lines(error, lines, replaced_headers):
    """Replace the lines that a parser error names; return their faults."""
    match error:
        case configparser.DuplicateSectionError():
            header = f"duplicate at line {error.lineno}"
            replaced_headers.add(header)
            lines[error.lineno - 1] = f"[{header}]"
            return [_make_duplicate_fault(error.section, "", error.lineno)]
        case configparser.DuplicateOptionError():
            lines[error.lineno - 1] = ""
            return [
                _make_duplicate_fault(
                    error.section, error.option, error.lineno
                )
            ]
        case configparser.MissingSectionHeaderError():
            line_numbers = [error.lineno]
        case configparser.ParsingError():
            line_numbers = [line_number for line_number, _line in error.errors]
        case _:
            raise error
    for line_number in line_numbers:
        lines[line_number - 1] = ""
    return [_make_syntax_fault(line_number) for line_number in line_numbers]


def _make_duplicate_fault(section, key, line_number):
    """Return the fault of a section or key that is repeated."""
    return Fault(
        section,
        key,
        f"is repeated at line {line_number}",
        "keep one of the two",
    )


def _make_syntax_fault(line_number):
    """Return the fault of a line that is not INI syntax."""
    return Fault(
        "",
        "",
        f"line {line_number} is neither a section nor a key with a value",
        "write [section] lines and key = value lines",
    )

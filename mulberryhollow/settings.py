"""Settings: declared beside their use, read from INI, checked whole."""

import configparser

import attrs

from mulberryhollow import errors

__all__ = ["Setting", "Settings", "declare", "list_declared", "load"]


@attrs.frozen
class Setting:
    """One declared setting.

    Parameters
    ----------
    section, key : str
        Where it stands in the INI file.
    parse : callable
        Turns its text into a value; raises ValueError.
    default : object
        Value when absent; None means that it is required.
    unit : str
        Unit of the value; empty for names and paths.
    description : str
        What it sets, for the operator.
    """

    section: str
    key: str
    parse: object
    default: object
    unit: str
    description: str


_DECLARED = {}


def declare(section, key, parse, default, unit, description):
    """Declare a setting beside its use and return it."""
    setting = Setting(section, key, parse, default, unit, description)
    _DECLARED[section, key] = setting
    return setting


def list_declared():
    """Return every declared setting, sorted by section and key."""
    return [_DECLARED[name] for name in sorted(_DECLARED)]


class Settings:
    """Checked values of all declared settings.

    Parameters
    ----------
    values : dict
        (section, key) to value.
    """

    def __init__(self, values):
        self._values = dict(values)

    def get(self, setting):
        """Return the value of a declared setting."""
        name = setting.section, setting.key
        return self._values.get(name, setting.default)


def load(text):
    """Check an INI text against every declared setting.

    Parameters
    ----------
    text : str
        The INI text.

    Returns
    -------
    Settings
        The checked values.

    Raises
    ------
    SettingsError
        Naming every unknown, missing and malformed key at once.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise errors.SettingsError(
            f"the settings are not INI: {error}",
            "write [section] lines and key = value lines",
        ) from error
    faults = [
        f"[{section}] {key}: unknown"
        for section in parser.sections()
        for key in parser[section]
        if (section, key) not in _DECLARED
    ]
    values = {}
    for setting in list_declared():
        _read_one(parser, setting, values, faults)
    if faults:
        raise errors.SettingsError(
            "; ".join(faults),
            "see `mulberryhollow settings` for every key and its default",
        )
    return Settings(values)


def _read_one(parser, setting, values, faults):
    """Read one declared setting, adding its value or its fault."""
    where = f"[{setting.section}] {setting.key}"
    text = parser.get(setting.section, setting.key, fallback=None)
    if text is None:
        if setting.default is None:
            faults.append(f"{where}: required, {setting.description}")
        return
    try:
        values[setting.section, setting.key] = setting.parse(text)
    except ValueError as error:
        faults.append(f"{where}: {error}")

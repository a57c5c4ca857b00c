"""Settings, declared in the module that uses them and read from INI.

A settings file is validated as a whole: all faults are reported at once.
"""

import configparser

import attrs

from mulberryhollow import errors

__all__ = ["Setting", "Settings", "declare", "list_declared", "load"]


@attrs.frozen
class Setting:
    """Declaration of one setting.

    Parameters
    ----------
    section, key : str
        Section and key in the INI file.
    parse : callable
        Converts the text to a value; raises ValueError for invalid text.
    default : object
        Value of an absent key; None if the setting is required.
    unit : str
        Unit of the value; empty for names and paths.
    description : str
        Description for the operator.
    """

    section: str
    key: str
    parse: object
    default: object
    unit: str
    description: str


_DECLARED = {}


def declare(section, key, parse, default, unit, description):
    """Register a setting and return it.

    Called at module level by the module that uses the setting; the
    parameters are those of `Setting`.
    """
    setting = Setting(section, key, parse, default, unit, description)
    _DECLARED[section, key] = setting
    return setting


def list_declared():
    """Return all declared settings, sorted by section and key."""
    return [_DECLARED[name] for name in sorted(_DECLARED)]


class Settings:
    """Validated values of the declared settings.

    Parameters
    ----------
    values : dict
        Value of each (section, key) that was given.
    """

    def __init__(self, values):
        self._values = dict(values)

    def get(self, setting):
        """Return the value of a declared setting, or its default."""
        name = setting.section, setting.key
        return self._values.get(name, setting.default)


def load(text):
    """Parse an INI text and validate it against the declared settings.

    Parameters
    ----------
    text : str
        The INI text.

    Returns
    -------
    Settings
        The validated values.

    Raises
    ------
    SettingsError
        If the text is not INI or if keys are unknown, missing or malformed;
        the message lists all such keys.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise errors.SettingsError(
            f"the settings are not valid INI: {error}",
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
    """Read one setting and append its value or its fault."""
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

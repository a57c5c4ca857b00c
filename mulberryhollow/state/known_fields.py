"""Selection of the fields of a message that a build knows."""

import attrs

__all__ = ["select_known", "select_level"]


def select_known(kind, fields):
    """Return the fields that an attrs class has, without all others.

    Messages of a newer build may have further fields, which are ignored.

    Parameters
    ----------
    kind : type
        The attrs class.
    fields : dict
        The decoded fields.

    Raises
    ------
    TypeError
        When `fields` is no dict.
    """
    if not isinstance(fields, dict):
        raise TypeError(f"no fields of {kind.__name__}: {fields!r:.80}")
    known = attrs.fields_dict(kind)
    return {name: fields[name] for name in fields if name in known}


def select_level(kind, fields, level):
    """Return the fields that builds of a protocol level can decode.

    A field of an attrs class has the level in its metadata, as ``"level"``,
    with which it was introduced; without one it has level 0.

    Parameters
    ----------
    kind : type
        The attrs class.
    fields : dict
        The fields of an instance of the class.
    level : int
        Lowest protocol level of the receivers.
    """
    known = attrs.fields_dict(kind)
    return {
        name: value
        for name, value in fields.items()
        if known[name].metadata.get("level", 0) <= level
    }

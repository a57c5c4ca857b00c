"""Import of a package's names on their first use."""

import importlib

__all__ = ["attach"]


def attach(package, modules):
    """Return the ``__getattr__`` and ``__dir__`` of a package (PEP 562).

    Each class of data costs about a millisecond of processor time to define,
    which counts while an instance restarts. A package whose names only some
    programs use defines them when they are first used.

    Parameters
    ----------
    package : str
        Name of the package.
    modules : dict
        Name of each submodule to the tuple of the names that the package
        exports from it.

    Returns
    -------
    tuple of callable
        The functions ``__getattr__`` and ``__dir__``.

    Examples
    --------
    >>> __getattr__, __dir__ = attach(__name__, {"record": ("Move",)})
    """
    origins = {
        name: module for module, names in modules.items() for name in names
    }

    def load(name):
        """Return an exported name."""
        if name not in origins:
            raise AttributeError(f"module {package} has no attribute {name}")
        module = importlib.import_module(f"{package}.{origins[name]}")
        return getattr(module, name)

    def list_names():
        """Return the exported names."""
        return sorted(origins)

    return load, list_names

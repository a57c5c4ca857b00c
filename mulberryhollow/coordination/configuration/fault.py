"""One fault of an environment document or of a change to it."""

import attrs

__all__ = ["Fault"]


@attrs.frozen
class Fault:
    """A fault that names where it stands and how to mend it.

    Parameters
    ----------
    section : str
        The section, without brackets; empty for the whole document.
    key : str
        The key within the section; empty for the whole section.
    message : str
        What is wrong.
    remedy : str
        What the operator can do about it.
    """

    section: str
    key: str
    message: str
    remedy: str

    def __str__(self):
        section = f"[{self.section}]" if self.section else "document"
        where = f"{section} {self.key}".rstrip()
        return f"{where}: {self.message} ({self.remedy})"

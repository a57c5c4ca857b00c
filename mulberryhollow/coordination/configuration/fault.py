"""Fault in an environment document or in a change of one."""

import attrs

__all__ = ["Fault"]


@attrs.frozen
class Fault:
    """A fault with its location and a remedy.

    Parameters
    ----------
    section : str
        Name of the section, without brackets; empty for the whole document.
    key : str
        Name of the key in the section; empty for the whole section.
    message : str
        Description of the fault.
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

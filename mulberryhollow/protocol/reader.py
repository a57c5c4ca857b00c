"""Reading of a document's sections, noting which keys were read."""

import attrs

from mulberryhollow.coordination.configuration import Fault
from mulberryhollow.protocol import values

__all__ = ["Reader", "Section"]

_KINDS = ("council", "client_account", "service")


@attrs.define
class Section:
    """One section while it is read; keys that were read are noted.

    Parameters
    ----------
    heading : str
        Its text between the brackets.
    content : dict
        Key to text.
    faults : list of Fault
        Every fault of the document so far.
    known : set of str
        Keys that were read.
    """

    heading: str
    content: dict
    faults: list
    known: set = attrs.field(factory=set)

    def add_fault(self, key, message, remedy):
        """Add a fault of this section."""
        self.faults.append(Fault(self.heading, key, message, remedy))

    def read(self, key, convert, default=None):
        """Return a converted value; a required one has no default."""
        self.known.add(key)
        text = self.content.get(key)
        if text is None:
            if default is None:
                self.add_fault(key, "is missing", "add the key")
            return default
        try:
            return convert(text)
        except values.ValueFaultError as fault:
            self.add_fault(key, fault.message, fault.remedy)
        return default

    def check_unknown(self):
        """Add a fault for each key that nothing has read."""
        known = ", ".join(sorted(self.known))
        for key in self.content:
            if key not in self.known:
                self.add_fault(key, "is unknown", f"the keys are: {known}")


@attrs.define
class Reader:
    """All sections of a document while they are read.

    Parameters
    ----------
    sections : dict
        Heading to a dict of key to text.
    faults : list of Fault
        Every fault of the document so far.
    """

    sections: dict
    faults: list

    def open_section(self, heading):
        """Return one section; a missing one is a fault."""
        if heading not in self.sections:
            self.add_fault(heading, "", "is missing", "add the section")
        content = self.sections.get(heading, {})
        return Section(heading, content, self.faults)

    def read_all(self, kind, read):
        """Return name to object for each section of one kind."""
        named = {}
        for heading in self.sections:
            head, _blank, name = heading.partition(" ")
            if head == kind and self._check_name(heading, name):
                section = self.open_section(heading)
                named[name] = read(section, name)
                section.check_unknown()
        return named

    def check_headings(self):
        """Add a fault for each section of no known kind."""
        kinds = ", ".join(f"[{kind} NAME]" for kind in _KINDS)
        for heading in self.sections:
            head = heading.partition(" ")[0]
            if heading != "environment" and head not in _KINDS:
                self.add_fault(
                    heading,
                    "",
                    "is unknown",
                    f"the sections are: [environment], {kinds}",
                )

    def add_fault(self, heading, key, message, remedy):
        """Add a fault."""
        self.faults.append(Fault(heading, key, message, remedy))

    def _check_name(self, heading, name):
        """Return whether a section has a usable name."""
        usable = values.NAME.fullmatch(name) is not None
        if not usable:
            self.add_fault(
                heading, "", f"has the name {name!r}", values.NAME_REMEDY
            )
        return usable

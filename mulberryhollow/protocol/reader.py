"""Readers of a document's sections that collect every fault."""

import attrs

from mulberryhollow.coordination.configuration import Fault
from mulberryhollow.protocol import values

__all__ = ["DocumentReader", "Section"]

_SECTION_KINDS = ("council", "client_account", "service")


@attrs.define
class Section:
    """Reader of one section, which tracks the keys that were read.

    Parameters
    ----------
    heading : str
        Text between the brackets of the section header.
    content : dict
        Key to text.
    faults : list of Fault
        Faults of the document so far; new ones are appended.
    known_keys : set of str
        Keys that were read, so that others are reported as unknown.
    """

    heading: str
    content: dict
    faults: list
    known_keys: set = attrs.field(factory=set)

    def add_fault(self, key, message, remedy):
        """Add a fault of this section or of one of its keys."""
        self.faults.append(Fault(self.heading, key, message, remedy))

    def read(self, key, convert, default=None):
        """Return the converted value of a key.

        A missing key without a default and a value that `convert` rejects
        are added as faults; the default is returned in their place.
        """
        self.known_keys.add(key)
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

    def check_unknown_keys(self):
        """Add a fault for each key that was not read."""
        known_keys = ", ".join(sorted(self.known_keys))
        for key in self.content:
            if key not in self.known_keys:
                self.add_fault(
                    key, "is unknown", f"the keys are: {known_keys}"
                )


@attrs.define
class DocumentReader:
    """Reader of all sections of a document.

    Parameters
    ----------
    sections : dict
        Heading to a dict of key to text.
    faults : list of Fault
        Faults of the document so far; new ones are appended.
    """

    sections: dict
    faults: list

    def open_section(self, heading):
        """Return one section; add a fault when the section is missing."""
        if heading not in self.sections:
            self.add_fault(heading, "", "is missing", "add the section")
        content = self.sections.get(heading, {})
        return Section(heading, content, self.faults)

    def read_all_of_kind(self, kind, read_section):
        """Return the objects of all sections of one kind, by name.

        Parameters
        ----------
        kind : str
            First word of the heading.
        read_section : callable
            ``read_section(section, name)`` returns the object.
        """
        objects = {}
        for heading in self.sections:
            section_kind, _blank, name = heading.partition(" ")
            if section_kind == kind and self._check_name(heading, name):
                section = self.open_section(heading)
                objects[name] = read_section(section, name)
                section.check_unknown_keys()
        return objects

    def check_section_kinds(self):
        """Add a fault for each section of an unknown kind."""
        kinds = ", ".join(f"[{kind} NAME]" for kind in _SECTION_KINDS)
        for heading in self.sections:
            section_kind = heading.partition(" ")[0]
            if heading != "environment" and section_kind not in _SECTION_KINDS:
                self.add_fault(
                    heading,
                    "",
                    "is unknown",
                    f"the sections are: [environment], {kinds}",
                )

    def add_fault(self, heading, key, message, remedy):
        """Add a fault of a section or of one of its keys."""
        self.faults.append(Fault(heading, key, message, remedy))

    def _check_name(self, heading, name):
        """Return whether a section has a valid name; add a fault if not."""
        is_valid = values.NAME_PATTERN.fullmatch(name) is not None
        if not is_valid:
            self.add_fault(
                heading,
                "",
                f"has the invalid name {name!r}",
                values.NAME_REMEDY,
            )
        return is_valid

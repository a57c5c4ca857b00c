"""Print the catalogue of numbered log events."""

import logging

from mulberryhollow.cli import arguments
from mulberryhollow.cli import catalogue
from mulberryhollow.cli import report

__all__ = ["add_parser", "run"]


def add_parser(commands, module):
    """Add this command."""
    arguments.make_command(commands, module, "events", "mulberryhollow events")


def run(options, session):
    """Return the report of all events."""
    rows = [
        {
            "number": event.number,
            "level": logging.getLevelName(event.level).lower(),
            "text": event.text,
            "action": event.action,
        }
        for event in catalogue.list_events()
    ]
    lines = [
        f"{row['number']} {row['level']}: {row['text']}; {row['action']}"
        for row in rows
    ]
    return report.Report("listed", "\n".join(lines), {"events": rows})

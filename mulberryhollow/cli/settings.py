"""Print every setting with its default and unit."""

from mulberryhollow.cli import arguments
from mulberryhollow.cli import catalogue
from mulberryhollow.cli import report

__all__ = ["add_parser", "run"]


def add_parser(commands, module):
    """Add this command."""
    arguments.make_command(
        commands, module, "settings", "mulberryhollow settings"
    )


def run(options, session):
    """Return the report of all settings."""
    rows = [
        {
            "section": each.section,
            "key": each.key,
            "default": None if each.default is None else str(each.default),
            "unit": each.unit,
            "description": each.description,
        }
        for each in catalogue.list_settings()
    ]
    return report.Report(
        "listed", "\n".join(map(_describe, rows)), {"settings": rows}
    )


def _describe(row):
    """Return the line of one setting."""
    is_required = row["default"] is None
    default = "(required)" if is_required else f"= {row['default']}"
    unit = f" {row['unit']}" if row["unit"] else ""
    where = f"[{row['section']}] {row['key']}"
    return f"{where} {default}{unit}: {row['description']}"

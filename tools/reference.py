"""Write the reference pages from the declarations in the code."""

import logging
import pathlib
import sys

from mulberryhollow.cli import catalogue

__all__ = ["main", "render_events", "render_settings"]

_DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"

_EVENTS_HEADING = """\
# Events and metrics

Written by `make docs` from the declarations in the code. Each log line is a
JSON object with the event's number in `event` and its values in `fields`;
`mulberryhollow events` prints the same catalogue.

| number | level | text | what the operator does |
| --- | --- | --- | --- |
"""

_METRICS_HEADING = """
## Metrics

Sent to the `statsd_address` of the settings with the prefix `mulberryhollow`.

| name | kind | unit | description |
| --- | --- | --- | --- |
"""

_SETTINGS_HEADING = """\
# Settings

Written by `make docs` from the declarations in the code. A daemon reads them
from an INI file; `mulberryhollow settings` prints the same list.

| section | key | default | unit | description |
| --- | --- | --- | --- | --- |
"""


def render_events():
    """Return the reference page of events and metrics."""
    event_rows = [
        _render_row(
            event.number,
            logging.getLevelName(event.level).lower(),
            event.text,
            event.action,
        )
        for event in catalogue.list_events()
    ]
    metric_rows = [
        _render_row(
            f"`{each.name}`", each.kind.value, each.unit, each.description
        )
        for each in catalogue.list_metrics()
    ]
    return "".join(
        [_EVENTS_HEADING, *event_rows, _METRICS_HEADING, *metric_rows]
    )


def render_settings():
    """Return the reference page of settings."""
    rows = [
        _render_row(
            f"`{each.section}`",
            f"`{each.key}`",
            _render_default(each.default),
            each.unit,
            each.description,
        )
        for each in catalogue.list_settings()
    ]
    return "".join([_SETTINGS_HEADING, *rows])


def _render_default(default):
    """Return a default value as the page prints it."""
    match default:
        case None:
            return "required"
        case "":
            return "empty"
        case _:
            return f"`{default}`"


def _render_row(*cells):
    """Return one row of a table."""
    texts = [str(cell).replace("|", "\\|") for cell in cells]
    return f"| {' | '.join(texts)} |\n"


def main():
    """Write both pages; return the exit code."""
    pages = {"EVENTS.md": render_events(), "SETTINGS.md": render_settings()}
    for name, text in pages.items():
        (_DOCS / name).write_text(text, encoding="utf-8")
        print(f"wrote docs/{name}")
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Print the stored document of an environment with its version.

The first lines are comments, beginning with #, with the version, the digest
and the change id. The rest is the document itself, so the output can be
edited and applied.
"""

from mulberryhollow.cli import arguments
from mulberryhollow.cli import report
from mulberryhollow.cli import stored
from mulberryhollow.protocol import document

__all__ = ["add_parser", "run"]


def add_parser(commands, module):
    """Add this command."""
    parser = arguments.make_command(
        commands, module, "show", "mulberryhollow show --environment trial"
    )
    arguments.add_environment(parser)
    arguments.add_store(parser)


def run(options, session):
    """Return the report of the stored document."""
    store = session.open_store(options.store, options.timeout_s)
    found = stored.read_document(store, options.environment)
    text = found.value.decode("utf-8", "replace")
    digest = document.digest(found.value)
    heading = (
        f"# version {found.version}\n# digest {digest}\n"
        f"# change id {found.change_id}\n"
    )
    return report.Report(
        "found",
        heading + text,
        {
            "environment": options.environment,
            "version": found.version,
            "digest": digest,
            "change_id": found.change_id,
            "document": text,
        },
    )

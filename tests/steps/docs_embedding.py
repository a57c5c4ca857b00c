import pathlib
import subprocess
import sys

from behave import then


@then("examples/embedding.py prints the last two lines of docs/booking.md")
def check_example(context):
    page = pathlib.Path("docs/booking.md").read_text(encoding="utf-8")
    wanted = [line.strip() for line in page.splitlines()[-2:]]
    completed = subprocess.run(
        [sys.executable, "examples/embedding.py"],
        capture_output=True,
        text=True,
        timeout=30,
        check=True,
    )
    assert completed.stdout.splitlines() == wanted, completed.stdout

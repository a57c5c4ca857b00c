import ast
import pathlib

from behave import given
from behave import then

from mulberryhollow.platform import headers
from tools import reference

PACKAGE = pathlib.Path("mulberryhollow")
GENERATED = PACKAGE / "protocol" / "gen"
BASE_MODULES = {
    "errors",
    "clock",
    "settings",
    "events",
    "lazy",
    "metrics",
    "__init__",
    "",
}
PLATFORM_WORDS = {
    "Response-Seal",
    "apiKeys",
    "cloudApi",
    "deletionPending",
    "durationS",
    "desiredCount",
    "goalMs",
    "hasMore",
    "internalPorts",
    "maxAttempts",
    "nodeName",
    "pathPrefix",
    "routeKind",
    "serializable",
    "spotPrice",
    "token_count",
    "uncachedTokens",
    "waitMs",
    "windowId",
}
"""Platform fields and words that have no other meaning."""

LAYER_RANKS = {
    "state": 1,
    "coordination": 2,
    "protocol": 3,
    "transport": 4,
    "serving": 5,
    "cli": 6,
    "daemon": 6,
    "platform": 6,
}


def list_imports(path):
    """Return the dotted names within the package that a file imports."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    names = []
    for node in ast.walk(tree):
        match node:
            case ast.Import():
                names += [alias.name for alias in node.names]
            case ast.ImportFrom():
                assert not node.level, f"{path} has a relative import"
                names += [f"{node.module}.{each.name}" for each in node.names]
    return [name for name in names if name.split(".")[0] == PACKAGE.name]


def get_layer(dotted):
    """Return the layer that a dotted name belongs to."""
    parts = dotted.split(".")
    return parts[1] if len(parts) > 1 else ""


@given("the imports of every module of the package")
def collect_imports(context):
    found = sorted(PACKAGE.rglob("*.py"))
    paths = [path for path in found if GENERATED not in path.parents]
    context.imports = [
        (path, path.relative_to(PACKAGE).with_suffix("").parts[0], name)
        for path in paths
        for name in list_imports(path)
    ]
    assert len(context.imports) > 20


@then("no module imports from a higher layer or from another top layer")
def check_layers(context):
    violations = [
        f"{path}: {name}"
        for path, layer, name in context.imports
        if not may_import(layer, get_layer(name))
    ]
    assert not violations, violations


def may_import(layer, used):
    """Return whether a module of one layer may import from another."""
    if layer == used or used in BASE_MODULES or used.startswith("__"):
        return True
    return LAYER_RANKS.get(used, 9) < LAYER_RANKS.get(layer, 0)


@given("the names of the platform's headers, fields and words")
def collect_names(context):
    constants = vars(headers).items()
    context.names = {
        value for name, value in constants if name.isupper() and value
    } - {headers.CONNECTION_HEADERS, headers.SYSTEM_HEADERS}
    context.names -= {"Last-Event-Id", "Key"}
    context.names |= PLATFORM_WORDS


@then("no other module of the package contains one of them")
def check_names(context):
    found = [
        f"{path}: {name}"
        for path in sorted(PACKAGE.rglob("*.py"))
        if "platform" not in path.parts and GENERATED not in path.parents
        for name in context.names
        if name in path.read_text(encoding="utf-8")
    ]
    assert not found, found


@then("docs/EVENTS.md and docs/SETTINGS.md are as written by make docs")
def check_pages(context):
    pages = {
        "docs/EVENTS.md": reference.render_events(),
        "docs/SETTINGS.md": reference.render_settings(),
    }
    for path, expected in pages.items():
        text = pathlib.Path(path).read_text(encoding="utf-8")
        assert text == expected, f"{path}: run make docs"

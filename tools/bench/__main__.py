"""Run the benchmarks named on the command line, or all of them."""

import importlib
import pkgutil
import sys

from tools import bench

_SHARED = {"__main__", "figure", "usage"}


def list_benchmarks():
    """Return the names of all benchmark modules, sorted."""
    names = {module.name for module in pkgutil.iter_modules(bench.__path__)}
    return sorted(names - _SHARED)


def main():
    """Print each figure and its bounds; return 1 if one is outside."""
    names = sys.argv[1:] or list_benchmarks()
    outside = 0
    for name in names:
        module = importlib.import_module(f"tools.bench.{name}")
        for figure in module.run():
            verdict = "ok" if figure.is_within() else "OUTSIDE"
            bounds = f"at most {figure.at_most}, at least {figure.at_least}"
            print(
                f"{name}: {figure.name} = {figure.value:.4g} {figure.unit}"
                f" ({bounds}) {verdict}",
                flush=True,
            )
            outside += not figure.is_within()
    print(f"{outside} figures outside their bounds")
    return 1 if outside else 0


if __name__ == "__main__":
    sys.exit(main())

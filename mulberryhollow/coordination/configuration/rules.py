"""Rules for the content of a configuration before it is sent.

Findings name accounts and the number of their keys, never a key.
"""

import collections
import itertools
import math

from mulberryhollow.coordination.configuration.finding import Finding
from mulberryhollow.coordination.configuration.finding import Severity
from mulberryhollow.state import catalogue as catalogues

__all__ = ["check_catalogue", "check_environment"]


def check_catalogue(catalogue, regions=None):
    """Return the findings about a catalogue, most severe first.

    Parameters
    ----------
    catalogue : state.catalogue.Catalogue
        The decoded configuration.
    regions : collection of str or None
        Regions in which failure domains lie; None if they are not known.

    Returns
    -------
    tuple of Finding
    """
    accounts = catalogue.accounts or ()
    malformed = tuple(_check_texts(catalogue.routes, accounts))
    if malformed:
        return malformed
    matching = _list_matching(catalogue.routes)
    findings = itertools.chain(
        _check_names("route", catalogue.routes),
        _check_names("account", accounts),
        _check_matching(catalogue.routes, matching),
        _check_shares(catalogue),
        _check_reached(catalogue.services, matching),
        _check_keys(catalogue),
        _check_regions(catalogue.routes, accounts, regions),
        itertools.chain.from_iterable(map(_check_goals, catalogue.routes)),
        itertools.chain.from_iterable(map(_check_quota, accounts)),
        itertools.chain.from_iterable(
            map(_check_service, catalogue.services.values())
        ),
        _check_ingress(catalogue.limits),
    )
    return _sort(findings)


def check_environment(environment):
    """Return the findings about a valid document, most severe first.

    Parameters
    ----------
    environment : state.environment.Environment
        The document. Its parser refuses undefined services, shared keys and
        values out of range.

    Returns
    -------
    tuple of Finding
    """
    accounts = environment.accounts.values()
    called = {name for account in accounts for name in account.services}
    unreached = (
        _warn(
            f"service {name}",
            "no client account may call it",
            "name it in the services of an account or remove it",
        )
        for name in environment.services
        if name not in called
    )
    without = (
        _warn(
            f"client_account {account.name}",
            "may call no service",
            "name its services or remove the account",
        )
        for account in accounts
        if not account.services
    )
    return _sort(itertools.chain(unreached, without))


def _sort(findings):
    """Return findings by severity; otherwise in their order."""
    return tuple(sorted(findings, key=lambda each: -each.severity))


def _warn(entry, message, remedy):
    """Return a warning."""
    return Finding(Severity.WARNING, entry, message, remedy)


def _fail(entry, message, remedy):
    """Return an error."""
    return Finding(Severity.ERROR, entry, message, remedy)


def _check_texts(routes, accounts):
    """Yield an error for each entry with a name or key that is no text.

    The other rules compare names, so they run without such entries only.
    """
    texts = itertools.chain(
        (
            (f"route {each.name}", [each.name, each.path_prefix, *names])
            for each in routes
            for names in [[share.service for share in each.shares]]
        ),
        (
            (f"account {each.name}", [each.name, *each.keys])
            for each in accounts
        ),
    )
    for entry, values in texts:
        if not all(isinstance(value, str) for value in values):
            yield _fail(
                entry,
                "a name, prefix or key is not a text",
                "put names, prefixes and keys in quotation marks",
            )


def _check_names(kind, entries):
    """Yield a warning for each name that several entries have."""
    counts = collections.Counter(each.name for each in entries)
    for name, count in counts.items():
        if count > 1:
            yield _warn(
                f"{kind} {name}",
                f"{count} entries have this name",
                "give each entry a name of its own",
            )


def _list_matching(routes):
    """Return the routes that a request can match.

    As in `Catalogue.find_route`, the last of several routes with one host
    and prefix is used.
    """
    last = {(each.host, each.path_prefix): each for each in routes}
    return [each for each in last.values() if _can_match(each)]


def _can_match(route):
    """Return whether `Catalogue.find_route` can look the route up."""
    prefix = route.path_prefix
    is_prefix = prefix.startswith("/") and prefix.endswith("/")
    return is_prefix and ":" not in route.host


def _check_matching(routes, matching):
    """Yield a warning for each route that no request matches."""
    used = {(each.host, each.path_prefix): each for each in matching}
    for route in routes:
        shadowing = used.get((route.host, route.path_prefix))
        if not _can_match(route):
            yield _warn(
                f"route {route.name}",
                f"host {route.host!r} and prefix {route.path_prefix!r} match"
                " no request",
                "give a host without a port, and a prefix that begins and"
                " ends with a slash",
            )
        elif shadowing is not route:
            yield _warn(
                f"route {route.name}",
                f"route {shadowing.name} has the same host and prefix and"
                " comes later, so this one is never used",
                "remove one of them or change its prefix",
            )


def _check_shares(catalogue):
    """Yield the findings about the services that routes name."""
    for route in catalogue.routes:
        entry = f"route {route.name}"
        weights = [share.weight for share in route.shares]
        if not all(0.0 <= weight < math.inf for weight in weights):
            yield _fail(
                entry,
                "a weight is negative or not a number",
                "give every weight as a number of 0 or more",
            )
        elif not any(weights):
            yield _fail(
                entry,
                "every weight is 0, so all requests go to the last service",
                "give one service a weight above 0",
            )
        for share in route.shares:
            if share.service not in catalogue.services:
                yield _fail(
                    entry,
                    f"service {share.service!r} is not defined",
                    "define the service or correct the name",
                )
            if share.weight == 0.0 and any(weights):
                yield _warn(
                    entry,
                    f"service {share.service!r} has weight 0 and gets no"
                    " request",
                    "remove the share or give it a weight",
                )


def _list_served(shares):
    """Return the services that the draw by weights can choose."""
    served = [share.service for share in shares if share.weight > 0.0]
    return served or [shares[-1].service]


def _check_reached(services, matching):
    """Yield a warning for each service that no route sends requests to."""
    reached = {
        name for route in matching for name in _list_served(route.shares)
    }
    for name in services:
        if name not in reached:
            yield _warn(
                f"service {name}",
                "no route sends requests to it",
                "name it in a route or remove it",
            )


def _check_keys(catalogue):
    """Yield the findings about the keys of the accounts."""
    if catalogue.accounts is None:
        return
    needs_key = any(not route.is_public for route in catalogue.routes)
    if needs_key and not catalogue.accounts:
        yield _fail(
            "accounts",
            "the list is empty, so every route that is not public refuses"
            " its requests",
            "add accounts, or leave the list out if no key is needed",
        )
    holders = collections.defaultdict(list)
    for account in catalogue.accounts:
        if not account.keys:
            yield _warn(
                f"account {account.name}",
                "has no key, so no request belongs to it",
                "add a key or remove the account",
            )
        for key in account.keys:
            holders[key].append(account.name)
    # Several keys shared by the same accounts are one finding.
    shared = collections.Counter(
        tuple(names) for names in holders.values() if len(names) > 1
    )
    for (*others, last), count in shared.items():
        yield _warn(
            f"account {last}",
            f"{count} of its keys also stand at {', '.join(others)};"
            " their requests are charged here",
            "make a key for each account",
        )


def _check_regions(routes, accounts, regions):
    """Yield the findings about regions without a failure domain."""
    if regions is None:
        return
    named = itertools.chain(
        ((f"route {each.name}", each.allowed_regions) for each in routes),
        ((f"account {each.name}", each.allowed_regions) for each in accounts),
    )
    for entry, allowed in named:
        unknown = sorted((allowed or frozenset()).difference(regions))
        if not unknown:
            continue
        is_empty = len(unknown) == len(allowed)
        yield (_fail if is_empty else _warn)(
            entry,
            f"no failure domain lies in {', '.join(unknown)}"
            + (", so no request can be served" if is_empty else ""),
            "correct the names of the allowed regions",
        )


def _check_goals(route):
    """Yield the findings about the times of a route."""
    entry = f"route {route.name}"
    if not route.timeout_s > 0.0:
        yield _fail(
            entry,
            f"the timeout is {route.timeout_s} s",
            "give a timeout above 0",
        )
        return
    goals = (("goal", route.goal_s), ("pause goal", route.gap_goal_s))
    for name, goal_s in goals:
        if goal_s > route.timeout_s:
            yield _warn(
                entry,
                f"the {name} of {goal_s} s is above the timeout of"
                f" {route.timeout_s} s",
                "lower the goal or raise the timeout",
            )


def _check_quota(account):
    """Yield the findings about the quota of an account."""
    quota = account.quota
    entry = f"account {account.name}"
    if not quota.is_limited:
        if quota.burst > 0.0:
            yield _warn(
                entry,
                f"the quota has a burst of {quota.burst} and a rate of"
                f" {quota.rate_per_s}, so it limits nothing",
                "give a rate, or leave the burst out",
            )
        return
    size = 1.0
    if quota.unit is catalogues.QuotaUnit.TOKENS:
        size = quota.default_tokens
    if quota.burst < size:
        yield _warn(
            entry,
            f"the burst of {quota.burst} {quota.unit.value} is below the"
            f" {size} of one usual request",
            "raise the burst to several requests",
        )


def _check_service(service):
    """Yield the findings about the limits of a service."""
    entry = f"service {service.name}"
    scaling, cold = service.scaling, service.cold_start
    if scaling and scaling.min_per_domain > scaling.max_per_domain:
        yield _fail(
            entry,
            f"the minimum of {scaling.min_per_domain} endpoints is above the"
            f" maximum of {scaling.max_per_domain}",
            "lower the minimum or raise the maximum",
        )
    if cold and not cold.duration_s > 0.0:
        yield _warn(
            entry,
            "a rate of cold endpoints is given without their duration",
            "give the duration too",
        )


def _check_ingress(limits):
    """Yield an error for each limit that leaves no room for a request."""
    values = (
        ("request header", limits.header_bytes, "bytes"),
        ("request body", limits.body_bytes, "bytes"),
        ("idle connection", limits.idle_timeout_s, "s"),
    )
    for name, value, unit in values:
        if not value > 0:
            yield _fail(
                "limits",
                f"the limit of a {name} is {value} {unit}",
                "give a limit above 0, or leave it out for the default",
            )

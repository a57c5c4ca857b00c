"""Checks of the references between sections of a document."""

import collections
import itertools

from mulberryhollow.coordination.configuration import Fault

__all__ = ["check_references"]


def check_references(councils, services, accounts):
    """Yield a fault for each invalid reference or shared key hash.

    A reference is invalid when its target is not declared, or is a service
    of another council than the client account's.

    Parameters
    ----------
    councils, services, accounts : dict
        Declared objects by name; a field that could not be read is None.
    """
    yield from _check_councils(councils, services, accounts)
    for account in accounts.values():
        yield from _check_account_services(account, services)
    yield from _check_shared_hashes(accounts)


def _check_councils(councils, services, accounts):
    """Yield a fault for each owning council that is not declared."""
    council_references = itertools.chain(
        ((f"service {each.name}", each.council) for each in services.values()),
        (
            (f"client_account {each.name}", each.council)
            for each in accounts.values()
        ),
    )
    for heading, council in council_references:
        if council and council not in councils:
            yield Fault(
                heading,
                "council",
                f"{council!r} is not declared",
                f"add [council {council}] or correct the name",
            )


def _check_account_services(account, services):
    """Yield a fault for each service that an account must not use."""
    heading = f"client_account {account.name}"
    for name in account.services:
        service = services.get(name)
        if service is None:
            yield Fault(
                heading,
                "services",
                f"{name!r} is not declared",
                f"add [service {name}] or correct the name",
            )
        elif service.council != account.council:
            yield Fault(
                heading,
                "services",
                f"{name!r} belongs to the council {service.council!r}",
                "name services of the account's own council",
            )


def _check_shared_hashes(accounts):
    """Yield a fault for each key hash that two accounts share."""
    hash_counts = collections.Counter(
        account.key_hash for account in accounts.values()
    )
    for account in accounts.values():
        if account.key_hash and hash_counts[account.key_hash] > 1:
            yield Fault(
                f"client_account {account.name}",
                "key_hash",
                "is shared with another client account",
                "make a key for each client account",
            )

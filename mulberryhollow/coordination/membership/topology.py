"""Gossip topology: a ring in each failure domain, relays between domains."""

import collections
import itertools

import attrs
import xxhash

__all__ = ["RELAYS_PER_DOMAIN", "Topology", "rank_by_rendezvous"]

RELAYS_PER_DOMAIN = 3
"""Members of a failure domain that also send to other failure domains."""

URGENT_LOCAL_TARGETS = 4
"""Members of the local failure domain that an urgent fact is sent to at
once."""


def rank_by_rendezvous(key, names):
    """Return names sorted by rendezvous hash with a key, highest first.

    Parameters
    ----------
    key : str
        Key to place on one of the names.
    names : iterable of str
        The candidates.
    """
    return sorted(
        names, key=lambda name: (_hash_pair(key, name), name), reverse=True
    )


def _hash_pair(key, name):
    """Return the rendezvous hash of a key and a candidate."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


@attrs.frozen
class _Domain:
    """A failure domain: its members on a ring and its relays."""

    name: str
    region: str
    ring: tuple
    relays: tuple


class Topology:
    """Gossip targets of one node, computed from the live members.

    Parameters
    ----------
    local_member : Member
        The local member.
    members : iterable of Member
        All live members, including the local one.

    Notes
    -----
    The number of targets in a round does not depend on the number of
    members. Each member sends to one member on the ring of its own failure
    domain, at a distance that doubles from round to round. A relay also sends
    to one other failure domain of its region and to one of another region.
    In each round each member is the ring target of exactly one other member,
    whose message is its heartbeat.
    """

    def __init__(self, local_member, members):
        self._local_member = local_member
        self._domains = _group(members)
        self._local = self._domains[local_member.failure_domain]
        self._position = self._local.ring.index(local_member.instance_id)
        self._near_domains = self._list_domains(in_region=True)
        self._far_regions = self._group_far_regions()

    @property
    def is_relay(self):
        """Whether the local member sends to other failure domains."""
        return self._local_member.instance_id in self._local.relays

    @property
    def relays(self):
        """Instance ids of the relays of the local failure domain."""
        return self._local.relays

    def list_members_of(self, failure_domain):
        """Return the instance ids of a failure domain's live members."""
        domain = self._domains.get(failure_domain)
        return domain.ring if domain else ()

    def list_round_targets(self, round_number):
        """Return the instance ids to exchange with in one round.

        Parameters
        ----------
        round_number : int
            Number of the round; it grows by one with each round.
        """
        distances = self._list_distances()
        nearest = distances[round_number % max(1, len(distances)) :][:1]
        targets = [self._find_at(distance) for distance in nearest]
        if self.is_relay:
            targets += self._list_relay_targets(round_number)
        return tuple(dict.fromkeys(targets))

    def _list_relay_targets(self, round_number):
        """Return one target in the local region and one in another region."""
        rank = self._local.relays.index(self._local_member.instance_id)
        turn = round_number + rank
        far = list(itertools.chain.from_iterable(self._far_regions))
        chosen = [
            domains[turn % len(domains)]
            for domains in (self._near_domains, far)
            if domains
        ]
        contact_rank = (
            rank + turn // max(1, len(self._near_domains))
        ) % RELAYS_PER_DOMAIN
        return [
            _choose_contact(domain, contact_rank, turn) for domain in chosen
        ]

    def list_urgent_targets(self, round_number, is_origin):
        """Return the instance ids that an urgent fact is sent to at once.

        Parameters
        ----------
        round_number : int
            Number of the round, by which the choice of targets rotates.
        is_origin : bool
            Whether the fact was published by this node; the origin sends to
            the relays of its own failure domain and, as a relay does, to
            other failure domains.
        """
        distances = self._list_distances()
        start = (round_number + self._position) % max(1, len(distances))
        rotated = distances[start:] + distances[:start]
        targets = [
            self._find_at(distance)
            for distance in rotated[:URGENT_LOCAL_TARGETS]
        ]
        if is_origin:
            targets += self._local.relays
        if is_origin or self.is_relay:
            targets += self._list_remote_targets(round_number, is_origin)
        unique = dict.fromkeys(targets)
        unique.pop(self._local_member.instance_id, None)
        return tuple(unique)

    def _list_remote_targets(self, round_number, is_origin):
        """Return one member of each other domain that a fact is sent to.

        The origin sends to every other failure domain and picks a different
        member of it in each round, so that frozen relays do not delay the
        fact. A relay sends to the other failure domains of its region and to
        one failure domain of each other region.
        """
        if is_origin:
            rank = RELAYS_PER_DOMAIN - 1
            domains = [
                *self._near_domains,
                *itertools.chain(*self._far_regions),
            ]
        else:
            rank = self._local.relays.index(self._local_member.instance_id)
            domains = self._near_domains + [
                domains[(round_number + rank) % len(domains)]
                for domains in self._far_regions
            ]
        return [
            _choose_contact(domain, rank, round_number + self._position)
            for domain in domains
        ]

    def _list_distances(self):
        """Return the ring distances 1, 2, 4, ... below the ring's size."""
        size = len(self._local.ring)
        return [1 << power for power in range((size - 1).bit_length())]

    def _find_at(self, distance):
        """Return the member at a distance on the local ring."""
        ring = self._local.ring
        return ring[(self._position + distance) % len(ring)]

    def _list_domains(self, in_region):
        """Return the other domains inside or outside the local region."""
        return [
            domain
            for name, domain in sorted(self._domains.items())
            if name != self._local_member.failure_domain
            and (domain.region == self._local_member.region) is in_region
        ]

    def _group_far_regions(self):
        """Return a list of the domains of each other region."""
        regions = collections.defaultdict(list)
        for domain in self._list_domains(in_region=False):
            regions[domain.region].append(domain)
        return [regions[name] for name in sorted(regions)]


def _group(members):
    """Group members by failure domain; return the domains by name."""
    by_domain = collections.defaultdict(list)
    for member in members:
        by_domain[member.failure_domain].append(member)
    return {
        name: _make_domain(name, inside) for name, inside in by_domain.items()
    }


def _make_domain(name, members):
    """Return a failure domain with its ring and relays."""
    names = [member.instance_id for member in members]
    ring = rank_by_rendezvous("ring", names)
    relays = rank_by_rendezvous(f"relay {name}", names)[:RELAYS_PER_DOMAIN]
    return _Domain(name, members[0].region, tuple(ring), tuple(relays))


def _choose_contact(domain, rank, turn):
    """Return the member of a domain that a relay of a given rank sends to.

    The last rank sends to any member instead of a relay, so that a domain
    whose relays are all frozen is still reached.
    """
    if rank == RELAYS_PER_DOMAIN - 1:
        return domain.ring[turn * 7 % len(domain.ring)]
    return domain.relays[rank % len(domain.relays)]

"""Who sends to whom: a ring in each failure domain, relays between them."""

import collections
import itertools

import attrs
import xxhash

__all__ = ["RELAYS_PER_DOMAIN", "Topology", "rank_by_rendezvous"]

RELAYS_PER_DOMAIN = 3
"""Members of a failure domain that also send to the other ones."""

URGENT_LOCAL_TARGETS = 4
"""Members of the own failure domain that get an urgent fact at once."""


def rank_by_rendezvous(key, names):
    """Return names by their rendezvous hash with a key, highest first.

    Parameters
    ----------
    key : str
        What is to be placed.
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
    """Targets of one node, worked out from the live members.

    Parameters
    ----------
    me : Member
        The node itself.
    members : iterable of Member
        Every live member, itself included.

    Notes
    -----
    The number of targets of a round does not depend on the number of
    members: one on the ring of the own failure domain, at a distance that
    doubles from round to round, and for a relay one failure domain of its
    region and one of another region. Each member is the ring target of one
    other member in each round, which is its heartbeat.
    """

    def __init__(self, me, members):
        self._me = me
        self._domains = _group(members)
        self._local = self._domains[me.failure_domain]
        self._place = self._local.ring.index(me.instance_id)
        self._near = self._list_domains(in_region=True)
        self._regions = self._group_far_regions()

    @property
    def is_relay(self):
        """Whether the node sends to other failure domains."""
        return self._me.instance_id in self._local.relays

    @property
    def relays(self):
        """Instance ids of the relays of the own failure domain."""
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
            Grows by one with each round.
        """
        distances = self._list_distances()
        nearest = distances[round_number % max(1, len(distances)) :][:1]
        targets = [self._find_at(distance) for distance in nearest]
        if self.is_relay:
            targets += self._list_relay_targets(round_number)
        return tuple(dict.fromkeys(targets))

    def _list_relay_targets(self, round_number):
        """Return one member of a near domain and one of a far region."""
        rank = self._local.relays.index(self._me.instance_id)
        turn = round_number + rank
        far = list(itertools.chain.from_iterable(self._regions))
        chosen = [
            domains[turn % len(domains)]
            for domains in (self._near, far)
            if domains
        ]
        varied = (rank + turn // max(1, len(self._near))) % RELAYS_PER_DOMAIN
        return [_choose_entry(domain, varied, turn) for domain in chosen]

    def list_urgent_targets(self, round_number, is_origin):
        """Return the instance ids that get an urgent fact at once.

        Parameters
        ----------
        round_number : int
            Varies the choice.
        is_origin : bool
            Whether the fact was published here; its origin sends across
            failure domains as a relay does.
        """
        distances = self._list_distances()
        start = (round_number + self._place) % max(1, len(distances))
        rotated = distances[start:] + distances[:start]
        targets = [
            self._find_at(distance)
            for distance in rotated[:URGENT_LOCAL_TARGETS]
        ]
        if is_origin:
            targets += self._local.relays
        if is_origin or self.is_relay:
            targets += self._list_across(round_number, is_origin)
        unique = dict.fromkeys(targets)
        unique.pop(self._me.instance_id, None)
        return tuple(unique)

    def _list_across(self, round_number, is_origin):
        """Return one member of each domain that a fact is sent to.

        The origin sends to every failure domain, each time to another member
        of it, so that frozen relays do not hold the fact up. A relay sends
        to those of its region and to one of each other region.
        """
        if is_origin:
            rank = RELAYS_PER_DOMAIN - 1
            domains = [*self._near, *itertools.chain(*self._regions)]
        else:
            rank = self._local.relays.index(self._me.instance_id)
            domains = self._near + [
                domains[(round_number + rank) % len(domains)]
                for domains in self._regions
            ]
        return [
            _choose_entry(domain, rank, round_number + self._place)
            for domain in domains
        ]

    def _list_distances(self):
        """Return the ring distances 1, 2, 4, ... below the ring's size."""
        size = len(self._local.ring)
        return [1 << power for power in range((size - 1).bit_length())]

    def _find_at(self, distance):
        """Return the member at a distance on the own ring."""
        ring = self._local.ring
        return ring[(self._place + distance) % len(ring)]

    def _list_domains(self, in_region):
        """Return the other domains inside or outside the own region."""
        return [
            domain
            for name, domain in sorted(self._domains.items())
            if name != self._me.failure_domain
            and (domain.region == self._me.region) is in_region
        ]

    def _group_far_regions(self):
        """Return the domains of each other region."""
        regions = collections.defaultdict(list)
        for domain in self._list_domains(in_region=False):
            regions[domain.region].append(domain)
        return [regions[name] for name in sorted(regions)]


def _group(members):
    """Return the failure domains of some members by name."""
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


def _choose_entry(domain, rank, turn):
    """Return the member that a relay of some rank sends to in a domain.

    The last rank sends to any member, so that a domain whose relays are all
    frozen is still reached.
    """
    if rank == RELAYS_PER_DOMAIN - 1:
        return domain.ring[turn * 7 % len(domain.ring)]
    return domain.relays[rank % len(domain.relays)]

"""Selection of the version that a request goes to."""

import xxhash

__all__ = ["draw_by_hash", "list_versions"]

_HASH_RANGE = float(2**64)


def list_versions(request_id, version_shares):
    """Return the versions that may run a request, the drawn one first.

    Parameters
    ----------
    request_id : str
        Decides the draw, so that a repeated request keeps its version
        on every node while the shares stand.
    version_shares : dict
        Version name to its share of the traffic.

    Returns
    -------
    list of str
        Empty when no version has a share. The drawn version may be
        replaced only by one with at least its share, so that a version
        under trial does not inherit the traffic of a larger one.

    Examples
    --------
    >>> list_versions("r1", {"v1": 1.0, "v2": 0.0})
    ['v1']
    """
    shares = {
        version: share
        for version, share in version_shares.items()
        if share > 0
    }
    if not shares:
        return []
    drawn = draw_by_hash(request_id, sorted(shares.items()))
    others = [
        version
        for version in sorted(shares, key=shares.get, reverse=True)
        if version != drawn and shares[version] >= shares[drawn]
    ]
    return [drawn, *others]


def draw_by_hash(request_id, pairs):
    """Return the choice at a request's point of some weights.

    Parameters
    ----------
    request_id : str
        Decides the draw.
    pairs : list of (object, float)
        Choices and their weights, above 0 in sum; not empty.
    """
    if len(pairs) == 1:
        return pairs[0][0]
    key = request_id.encode(errors="surrogatepass")
    unit = xxhash.xxh3_64_intdigest(key) / _HASH_RANGE
    point = unit * sum(weight for _, weight in pairs)
    for choice, weight in pairs:
        point -= weight
        if point < 0:
            return choice
    return pairs[-1][0]

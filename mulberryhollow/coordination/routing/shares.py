"""Selection of the version that a request goes to."""

import xxhash

__all__ = ["list_versions"]

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
    drawn = _draw(request_id, shares)
    others = [
        version
        for version in sorted(shares, key=shares.get, reverse=True)
        if version != drawn and shares[version] >= shares[drawn]
    ]
    return [drawn, *others]


def _draw(request_id, shares):
    """Return the version at the request's point of the shares."""
    if len(shares) == 1:
        return next(iter(shares))
    key = request_id.encode(errors="surrogatepass")
    unit = xxhash.xxh3_64_intdigest(key) / _HASH_RANGE
    point = unit * sum(shares.values())
    names = sorted(shares)
    for version in names:
        point -= shares[version]
        if point < 0:
            return version
    return names[-1]

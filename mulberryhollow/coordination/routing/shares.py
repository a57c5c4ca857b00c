"""Weighted selection of the version that serves a request."""

import xxhash

__all__ = ["draw_by_hash", "list_versions"]

_HASH_RANGE = float(2**64)


def list_versions(request_id, version_shares):
    """Return the versions that may serve a request, the selected one first.

    Parameters
    ----------
    request_id : str
        Key of the selection, so that a repeated request keeps its version
        on every node as long as the shares do not change.
    version_shares : dict
        Version name to its share of the traffic.

    Returns
    -------
    list of str
        Empty when no version has a share. The selected version is
        followed only by versions with at least its share, so that a canary
        version does not receive the traffic of a larger one.

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
    selected = draw_by_hash(request_id, sorted(shares.items()))
    alternatives = [
        version
        for version in sorted(shares, key=shares.get, reverse=True)
        if version != selected and shares[version] >= shares[selected]
    ]
    return [selected, *alternatives]


def draw_by_hash(request_id, pairs):
    """Return one of several choices by weight and hash of a request id.

    Parameters
    ----------
    request_id : str
        Key of the selection.
    pairs : list of (object, float)
        Choices and their weights; not empty, and the sum of the weights is
        above 0.
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

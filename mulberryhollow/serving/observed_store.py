"""Store client that counts its calls."""

from mulberryhollow.transport import store

__all__ = ["ObservedStore"]


class ObservedStore(store.StoreClient):
    """A StoreClient that reports each call to an observer.

    Parameters
    ----------
    address : str
        ``host:port`` of the object API.
    observer : Observer
        Counts the calls by name.
    **options
        Passed to `StoreClient`.
    """

    def __init__(self, address, observer, **options):
        super().__init__(address, **options)
        self._observer = observer

    def get(self, kind, name, is_stale_ok=False):
        """Read an object, as `StoreClient.get`."""
        self._observer.count_store_call("get")
        return super().get(kind, name, is_stale_ok)

    def list_objects(self, kind, is_stale_ok=False):
        """List a kind, as `StoreClient.list_objects`."""
        self._observer.count_store_call("list")
        return super().list_objects(kind, is_stale_ok)

    def watch(self, kind, after, wait_s):
        """Wait for changes, as `StoreClient.watch`."""
        self._observer.count_store_call("watch")
        return super().watch(kind, after, wait_s)

    def put(self, kind, name, value, expected_version, change_id):
        """Write an object, as `StoreClient.put`."""
        self._observer.count_store_call("put")
        return super().put(kind, name, value, expected_version, change_id)

    def put_status(self, kind, name, status, expected_version):
        """Write a status, as `StoreClient.put_status`."""
        self._observer.count_store_call("put")
        return super().put_status(kind, name, status, expected_version)

    def delete(self, kind, name, expected_version):
        """Remove an object, as `StoreClient.delete`."""
        self._observer.count_store_call("delete")
        return super().delete(kind, name, expected_version)

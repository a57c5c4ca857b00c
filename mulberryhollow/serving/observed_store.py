"""Store adapter that counts its calls."""

from mulberryhollow.transport import store

__all__ = ["ObservedStore"]


class ObservedStore(store.StoreClient):
    """A StoreClient that reports each call.

    Parameters
    ----------
    address : str
        ``host:port`` of the object API.
    observer : Observer
        Counts the calls by name.
    """

    def __init__(self, address, observer):
        super().__init__(address)
        self._observer = observer

    def get(self, kind, name):
        """Read an object, as `StoreClient.get`."""
        self._observer.count_store_call("get")
        return super().get(kind, name)

    def list_objects(self, kind):
        """List a kind, as `StoreClient.list_objects`."""
        self._observer.count_store_call("list")
        return super().list_objects(kind)

    def watch(self, kind, after, wait_s):
        """Wait for changes, as `StoreClient.watch`."""
        self._observer.count_store_call("watch")
        return super().watch(kind, after, wait_s)

    def put(self, kind, name, value, expected_version, change_id):
        """Write an object, as `StoreClient.put`."""
        self._observer.count_store_call("put")
        return super().put(kind, name, value, expected_version, change_id)

    def delete(self, kind, name, expected_version):
        """Remove an object, as `StoreClient.delete`."""
        self._observer.count_store_call("delete")
        return super().delete(kind, name, expected_version)

"""Counter of bytes and messages between peers."""

import threading

__all__ = ["Traffic"]


class Traffic:
    """Thread-safe counter over all peer connections of one node."""

    def __init__(self):
        self._lock = threading.Lock()
        self.sent_bytes = 0
        self.received_bytes = 0
        self.call_bytes = 0
        self.messages = 0

    def add(self, sent_bytes=0, received_bytes=0, messages=0, call_bytes=0):
        """Add bytes and messages of one connection to the counter."""
        with self._lock:
            self.sent_bytes += sent_bytes
            self.received_bytes += received_bytes
            self.messages += messages
            self.call_bytes += call_bytes

    @property
    def total_bytes(self):
        """Bytes in both directions, without TCP and IP headers."""
        return self.sent_bytes + self.received_bytes

    @property
    def control_bytes(self):
        """Bytes in both directions without the payloads of calls."""
        return self.total_bytes - self.call_bytes

"""In-memory state of an instance: documents, views and counters."""

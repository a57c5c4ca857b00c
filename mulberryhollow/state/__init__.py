"""Data held by an instance: documents, views, counters."""

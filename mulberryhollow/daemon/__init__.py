"""The entry daemon: its process, settings and status pages."""

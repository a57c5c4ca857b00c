"""Adapters to callers, endpoints, the platform and peers."""

"""Network adapters: callers, endpoints, the platform, peer instances."""

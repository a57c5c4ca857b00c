"""Serving of models and booking services on reclaimable instances."""

__version__ = "0.1.0"

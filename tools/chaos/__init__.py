"""Seeded runs over real processes under failures, with a verdict."""

"""Owners of the dispatcher's state, and the calls that change it."""

"""Seeded soak of instances on a model of the users' platform.

Real processes run against stand-ins while faults from outside overlap:
restores of the store, signals, new configurations and leaving endpoints.
The records of the stand-ins and the callers are checked at the end.
"""

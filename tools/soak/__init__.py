"""Seeded soak of instances on a model of the users' platform.

Real processes run against stand-ins while faults from outside overlap:
restores of the store, signals, new configurations and leaving endpoints.
The records of the stand-ins and the callers are checked at the end.

A seed fixes the schedule of the faults, not the timing of the processes, so
a run of a seed may find a violation that another run of it does not.

Requests are attributed to the instance that the caller sent them to, also if
a peer has passed them on to the endpoint.
"""

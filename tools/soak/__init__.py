"""Seeded soak of instances on a model of the users' platform.

Real processes run against stand-ins while faults from outside overlap:
restores of the store, signals, new configurations and leaving endpoints.
The records of the stand-ins and the callers are checked at the end.

A seed fixes the schedule of the faults, not the timing of the processes, so
a run of a seed may find a violation that another run of it does not.

With streams, the callers read streams that may be resumed, and instances stop
in turn while endpoints pause, fall silent, break off or refuse. A stream that
an endpoint has run and that ends without its end counts as lost, also where
its endpoint was silent for good.

Requests are attributed to the instance that the caller sent them to, also if
a peer has passed them on to the endpoint.
"""

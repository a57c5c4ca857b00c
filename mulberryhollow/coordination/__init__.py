"""Decision logic as state machines without sockets, threads or clocks."""

"""Actors and threads that answer requests with the decisions."""

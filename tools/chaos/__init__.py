"""Fault injection into real processes, with a check of the history."""

"""Daemons: thin programs that wire the library together."""

"""Decisions about the configuration that is in force."""

from mulberryhollow.coordination.configuration.fault import Fault

__all__ = ["Fault"]

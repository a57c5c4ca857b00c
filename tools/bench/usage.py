"""Processor time and memory of a process, read from ``/proc``."""

import os

__all__ = ["read_memory_kb", "read_processor_time"]

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def read_memory_kb(pid):
    """Return the resident memory of a process, in kB."""
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        lines = dict(line.split(":", 1) for line in file)
    return int(lines["VmRSS"].split()[0])


def read_processor_time(pid):
    """Return the user and system time of a process, in seconds."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S

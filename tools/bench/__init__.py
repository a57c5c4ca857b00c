"""Benchmarks with regression bounds on ratios and counts."""

"""Benchmarks whose figures are checked against bounds."""

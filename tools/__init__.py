"""Development programs: demo, benchmarks, reference pages."""

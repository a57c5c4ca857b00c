"""Development programs: demo, benchmarks, fault runs, reference pages."""

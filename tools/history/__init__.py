"""Recording of concurrent runs and the proof over what was recorded."""

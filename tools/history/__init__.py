"""Recording of concurrent runs and checks of the recorded history."""

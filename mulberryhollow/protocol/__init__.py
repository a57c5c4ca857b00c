"""Messages and codecs of every external interface."""

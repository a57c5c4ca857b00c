"""Messages and codecs of every outside interface."""

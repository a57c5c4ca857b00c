"""Adapter between the users' platform and the product.

This package decodes the platform's messages into the product's types and
encodes the answers. No other package contains a name of the platform.
"""

import time

PROCESS_START_S = time.monotonic()
"""Monotonic time at which this process began to load, in seconds."""

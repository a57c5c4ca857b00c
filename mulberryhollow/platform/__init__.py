"""Translation between the users' platform and the product.

Its messages are decoded here once, into the product's types; no other
package knows a name of the platform.
"""

import time

BEGAN_S = time.monotonic()
"""When this process began to load its program, on the steady clock, in s."""

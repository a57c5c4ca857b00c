"""Translation between the users' platform and the product.

Its messages are decoded here once, into the product's types; no other
package knows a name of the platform.
"""

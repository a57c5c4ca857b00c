"""Actors and threads that serve requests.

They apply the decisions of `mulberryhollow.coordination`.
"""

"""Adapter to the users' platform: its names, formats, calls and line protocol.

It translates and decides nothing; all other packages use the product's own names. It
is part of this package because a top-level package ``platform`` would shadow the
module of that name in Python's standard library.
"""

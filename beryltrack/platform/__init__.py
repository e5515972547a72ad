"""The users' platform: its names, formats and calls, and nothing that decides.

Everything outside of this folder speaks the product's own words. The folder lies
in the package, as a folder ``platform`` at the root would hide the module of that
name in Python's standard library.
"""

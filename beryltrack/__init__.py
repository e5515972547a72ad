"""A database proxy with session consistency."""

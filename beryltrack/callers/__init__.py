"""The caller-facing side of the proxy; a caller is a client that connects to it.

The package implements the server end of PostgreSQL's frontend/backend protocol 3.0, and
the base classes of connections that speak the line protocol.
"""

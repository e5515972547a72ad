"""The caller-facing side of the proxy.

It implements the server end of PostgreSQL's frontend/backend protocol 3.0, and the
base class of connections that speak the line protocol.
"""

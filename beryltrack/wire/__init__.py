"""Bounded framing and pass-through of PostgreSQL frames on top of pygwire."""

"""Decides under load what runs at a database, in which order, where, and what not."""

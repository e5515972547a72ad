"""Routing: what a statement is, and which database is to run it."""

"""Shared database connections: owners open them, other instances relay through them."""

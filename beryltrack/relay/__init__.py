"""Shared connections to databases: owners open them, other instances use them."""

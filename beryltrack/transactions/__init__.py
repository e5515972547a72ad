"""Transactions: confirmation of commits by majority receipt."""

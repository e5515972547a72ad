"""Transactions: commits are confirmed once a majority has received them."""

"""Database groups: their members, terms, log positions and who leads them."""

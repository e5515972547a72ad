"""Database groups: members, terms, log positions, and which database is the primary."""

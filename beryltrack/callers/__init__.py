"""The caller's side of the PostgreSQL protocol."""

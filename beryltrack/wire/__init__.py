"""PostgreSQL wire protocol on top of pygwire: bounded framing and pass-through."""

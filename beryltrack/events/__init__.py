"""A rate-limited log of the decisions about requests, and a reader of it."""

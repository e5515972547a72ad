"""Stand-ins for the users' line-protocol databases, object store and promotions."""

"""Stand-ins of the users' platform: databases, store and promotions, in one process."""

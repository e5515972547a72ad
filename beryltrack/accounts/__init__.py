"""Client accounts: their keys, and the limit of each over the whole fleet."""

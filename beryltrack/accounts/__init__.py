"""Client accounts: their keys, and how much each may ask of the whole fleet."""

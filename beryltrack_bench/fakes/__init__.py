"""Small fakes at the interfaces: nodes, links, database groups, the platform."""

"""The operators' command line tool: changes and shows settings and fleet status."""

"""Routing: classifies statements and chooses the database that runs each request."""

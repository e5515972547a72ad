"""Metrics of an instance: their types, their catalog and their text form."""

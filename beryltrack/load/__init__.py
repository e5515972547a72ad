"""Overload control: which operations a database runs, when, through whom, or not."""

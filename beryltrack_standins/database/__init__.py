"""A stand-in for a database group: terms, a log and asynchronous replication."""

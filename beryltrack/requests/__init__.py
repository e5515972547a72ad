"""Requests: admission, execution, retries and at-most-once requests."""

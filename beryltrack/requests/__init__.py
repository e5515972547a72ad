"""Requests: admission, the course of one request, retries and at-most-once."""

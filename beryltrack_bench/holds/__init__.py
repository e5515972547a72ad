"""A model of elections that hold replicas, checked in all orders of events."""

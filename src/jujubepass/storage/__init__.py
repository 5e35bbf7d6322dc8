"""Clients of the platform's table and object store."""

"""Forwarding of callers' HTTP requests to services and to engines on paths."""

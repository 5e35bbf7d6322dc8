"""Adapter to the users' platform; no other module knows its names."""

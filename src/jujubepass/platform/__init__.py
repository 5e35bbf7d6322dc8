"""Adapter to the users' platform; all names of its interfaces are defined here."""

"""Declarations: from files and operators to every node."""

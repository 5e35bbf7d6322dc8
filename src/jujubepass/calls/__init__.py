"""Calls and lookups of plain services."""

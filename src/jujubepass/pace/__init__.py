"""Slow start of servers that have just started or recovered."""

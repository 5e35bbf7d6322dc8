"""Accounting of what clients make a process hold, and its bounds."""

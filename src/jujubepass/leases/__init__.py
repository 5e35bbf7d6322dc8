"""Leases with fencing numbers in the platform's table."""

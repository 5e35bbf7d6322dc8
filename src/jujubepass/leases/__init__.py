"""Leases with fencing numbers, stored in the platform's table."""

"""Calls to plain services: journal, outcomes, lookups, hedges."""

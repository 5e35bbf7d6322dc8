"""Logs, counters and histograms."""

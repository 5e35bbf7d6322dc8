"""Answers of events: splitting, forwarding, resumption and end."""

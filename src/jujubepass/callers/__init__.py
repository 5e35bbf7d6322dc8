"""The interface of callers."""

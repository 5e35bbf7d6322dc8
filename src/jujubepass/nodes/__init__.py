"""Assembly and life cycle of one node."""

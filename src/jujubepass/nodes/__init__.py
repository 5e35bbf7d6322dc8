"""Assembly and life of one node."""

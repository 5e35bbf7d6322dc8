"""The platform's table and object store."""

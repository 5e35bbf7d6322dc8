"""Relay of the store's rows between the nodes of a failure domain."""

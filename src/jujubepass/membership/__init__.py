"""Membership: nodes, their heartbeats and the list of VMs."""

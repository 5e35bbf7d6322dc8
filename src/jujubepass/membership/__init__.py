"""Who is there: nodes, their heartbeats and VMs."""

"""Quarantine of what ends one backend server after the other."""

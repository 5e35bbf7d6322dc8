"""Admission, fairness, retries and shares of client accounts."""

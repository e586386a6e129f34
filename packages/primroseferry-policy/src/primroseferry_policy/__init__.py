"""Admission, limits, routing, retries and quarantine."""

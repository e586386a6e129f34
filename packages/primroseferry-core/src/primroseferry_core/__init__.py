"""Ids, plans, errors, events and settings shared by every part of primroseferry."""

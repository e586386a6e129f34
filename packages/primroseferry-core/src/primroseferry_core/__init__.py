"""Identifiers, plans, error kinds and log events that all primroseferry packages share."""

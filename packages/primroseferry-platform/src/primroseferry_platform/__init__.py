"""Clients of the platform services: key-value service, instance list and client directory."""

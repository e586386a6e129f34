"""Clients of the platform: key-value service, instance list, client directory."""

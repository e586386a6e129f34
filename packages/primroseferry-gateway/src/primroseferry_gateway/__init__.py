"""The gateway daemon."""

"""The gateway daemon that routes requests to model engines and services."""

"""Test doubles of the platform, the endpoints and the links, for tests and the demo."""

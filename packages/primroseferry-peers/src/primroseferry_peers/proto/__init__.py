"""Messages and stubs generated from ``peer.proto``."""

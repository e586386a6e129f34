"""The protocol between gateways: messages, facts, membership."""

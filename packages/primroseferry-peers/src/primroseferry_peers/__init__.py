"""The protocol between gateways: calls, and the exchange of facts and plan revisions."""

"""At-most-once execution: idempotency keys, claims on them and the table of operations."""

"""At-most-once execution."""

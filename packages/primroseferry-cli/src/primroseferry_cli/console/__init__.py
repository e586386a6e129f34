"""The console application and its commands."""

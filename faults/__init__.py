"""Fault-injection tests: the fault matrix, the recorded histories and their checker."""

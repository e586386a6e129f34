"""The proof under failure: histories, their checker, and the fault matrix."""

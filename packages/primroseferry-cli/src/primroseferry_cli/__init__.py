"""The ``primroseferry`` command line."""

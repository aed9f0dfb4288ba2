"""A request scheduler for heterogeneous engines."""

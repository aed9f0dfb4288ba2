"""Benchmarks, run with ``script/measure NAME``."""

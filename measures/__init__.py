"""Measurements of the project; run them with ``script/measure NAME``."""

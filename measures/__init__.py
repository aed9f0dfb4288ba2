"""Measures: each prints a table and writes its figures as JSON."""

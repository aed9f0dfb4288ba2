"""Scheduling decisions; no I/O and no gevent, callers pass the time in."""

"""Decisions under load; no socket, no gevent, time is handed in."""

"""Scheduling decisions of an instance that sends directly to endpoints.

Pure logic: callers pass the time as a number, and nothing here opens a
socket.
"""

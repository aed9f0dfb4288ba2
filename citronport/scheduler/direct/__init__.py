"""Decisions of an instance that sends to endpoints by itself.

Pure: the time comes in as a number, nothing here opens a socket.
"""

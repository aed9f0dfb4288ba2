"""Tests of the peer `endpoint`."""

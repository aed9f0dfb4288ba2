"""Tests of the peer `operator`."""

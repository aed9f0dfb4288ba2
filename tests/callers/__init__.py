"""Tests of the caller side."""

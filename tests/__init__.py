"""Tests; the tree mirrors the source."""

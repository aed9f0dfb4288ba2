"""Tests of citronport/relay."""

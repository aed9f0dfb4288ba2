"""Tests of citronport/platform."""

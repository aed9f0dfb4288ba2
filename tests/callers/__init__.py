"""Tests of citronport.callers."""

"""Tests of citronport.platform."""

"""Tests of citronport.instances."""

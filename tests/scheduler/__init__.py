"""Tests of citronport.scheduler."""

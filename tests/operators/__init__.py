"""Tests of citronport.operators."""

"""Tests of spurarch."""

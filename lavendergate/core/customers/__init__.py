"""Customers: who a caller is, and what a customer may use."""

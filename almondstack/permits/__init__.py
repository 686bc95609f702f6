"""Escrowed permits: bounds that many entries spend without asking anyone."""

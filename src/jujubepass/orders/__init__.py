"""Orders that bring engines to what is declared."""

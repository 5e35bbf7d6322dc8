"""Queue of model requests that wait for places at first engines."""

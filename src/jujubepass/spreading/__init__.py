"""Spreading of model requests over pipelines and failure domains by predicted load."""

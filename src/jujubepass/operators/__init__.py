"""Commands and the interface of operators."""

"""Distribution of declarations from files and operators to every node."""

"""Planning of routes over engines that hold layer ranges of a model."""

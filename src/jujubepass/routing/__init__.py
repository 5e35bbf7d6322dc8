"""Routes over engines that hold ranges of layers."""

"""Assignment of slices to nodes."""

"""The daemon process: settings, assembly of its components, signals."""

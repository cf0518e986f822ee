"""The daemon: settings, assembly and signals."""

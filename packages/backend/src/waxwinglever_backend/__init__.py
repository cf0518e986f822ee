"""Client for the backend server beside the daemon."""

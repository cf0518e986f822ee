"""Choice of the node for a request, retries and hedging."""

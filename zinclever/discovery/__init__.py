"""Where lists of endpoints come from: the platform's discovery, or the operator file."""

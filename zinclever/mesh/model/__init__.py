"""The mesh's pure machines in simulated time, with all that may befall them: for tests, hunts and measurements."""

"""What operators ask of a mesh from the command line."""

"""The one order of changes that all members of a view deliver."""

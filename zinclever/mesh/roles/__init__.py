"""The roles of the program, put together from the other packages."""

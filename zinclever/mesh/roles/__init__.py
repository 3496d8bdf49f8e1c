"""The roles of the program: what is put together from the other packages."""

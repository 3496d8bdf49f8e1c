"""Who is there and what is known: news passed on to a few others, gaps mended by digests."""

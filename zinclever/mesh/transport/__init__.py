"""What the processes of the mesh say to each other: protobuf, in datagrams and on links."""

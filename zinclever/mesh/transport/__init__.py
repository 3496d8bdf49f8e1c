"""Messages between nodes: protobuf, in datagrams and on framed TCP links."""

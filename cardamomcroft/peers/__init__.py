"""Let instances talk to each other over thrift."""

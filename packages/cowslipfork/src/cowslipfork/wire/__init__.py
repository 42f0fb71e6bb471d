"""Generated protobuf and gRPC code; ``make generate`` renews it."""

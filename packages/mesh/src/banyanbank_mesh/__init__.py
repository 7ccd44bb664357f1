"""Transport between instances: websockets carrying CBOR frames."""

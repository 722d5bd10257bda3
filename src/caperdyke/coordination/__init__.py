"""Decision logic: short functions over typed data, without sockets or clocks."""

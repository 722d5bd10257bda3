"""Messages, INI documents and table records, and how each is encoded and checked."""

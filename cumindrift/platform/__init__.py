"""Platform supervisor: the object API that keeps what must last."""

@0x9f4b81e6d2a7350c;

struct SnapshotPush {
  version @0 :UInt64;
  digest @1 :Data;
  document @2 :Data;
}

struct SnapshotAsk {
  version @0 :UInt64;
  ip @1 :Text;
  port @2 :UInt16;
}

struct SettingsMessage {
  union {
    snapshotPush @0 :SnapshotPush;
    snapshotAsk @1 :SnapshotAsk;
  }
}

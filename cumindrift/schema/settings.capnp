@0x9f4b81e6d2a7350c;

struct Endpoint {
  ip @0 :Text;
  port @1 :UInt16;
}

struct SnapshotChunk {
  sender @0 :Endpoint;
  version @1 :UInt64;
  digest @2 :Data;
  number @3 :UInt16;
  chunkCount @4 :UInt16;
  body @5 :Data;
}

struct ChunkAsk {
  sender @0 :Endpoint;
  version @1 :UInt64;
  numbers @2 :List(UInt16);
}

struct VersionReport {
  sender @0 :Endpoint;
  version @1 :UInt64;
  digest @2 :Data;
  wantsAnswer @3 :Bool;
}

struct SettingsMessage {
  union {
    snapshotChunk @0 :SnapshotChunk;
    chunkAsk @1 :ChunkAsk;
    versionReport @2 :VersionReport;
  }
}

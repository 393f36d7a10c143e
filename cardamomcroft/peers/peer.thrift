struct Digest {
  1: string instance_id
  2: string incarnation
  3: string region
  4: string data_centre
  5: i64 applied
  6: i64 epoch
  7: bool log_reachable
  8: bool leaving
  9: string http_address
  10: string peer_address
  11: i32 requests_running
  12: list<string> leaving_workers
  13: list<string> facts
  14: optional bool caught_up
}

struct LogPage {
  1: i64 first
  2: i64 start
  3: list<string> payloads
}

service Peer {
  Digest exchange(1: Digest digest)
  LogPage read_log(1: i64 offset, 2: i32 limit)
  string snapshot()
}

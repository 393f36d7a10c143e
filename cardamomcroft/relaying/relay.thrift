struct Call {
  1: string method
  2: string host
  3: string path
  4: string key
  5: binary body
  6: i32 patience_ms
  7: optional i64 config_version
}

struct Reply {
  1: i32 status
  2: binary body
  3: i32 retry_after_s
  4: bool lacks_store
  5: optional i64 config_version
}

service Relay {
  Reply answer(1: Call call)
}

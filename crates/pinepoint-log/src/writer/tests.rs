use super::*;

#[test]
fn drops_lines_if_pipe_is_full_or_closed() {
    let (reader, writer) = std::io::pipe().expect("open a pipe");
    let dropped_before = lines_left_out();
    let mut writer = NonBlockingWriter(writer);
    let line = [b'x'; 1000];
    for _ in 0..1000 {
        writer.write_all(&line).expect("write or drop a line");
    }
    let dropped_lines = lines_left_out() - dropped_before;
    assert!((900..1000).contains(&dropped_lines), "a pipe buffers 64 KiB: {dropped_lines} lines dropped");
    drop(reader);
    writer.write_all(&line).expect("drop a line without a reader");
}

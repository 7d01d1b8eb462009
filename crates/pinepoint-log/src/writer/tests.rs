use super::*;

#[test]
fn a_pipe_that_nobody_reads_is_not_waited_for() {
    let (reader, writer) = std::io::pipe().expect("a pipe");
    let before = lines_left_out();
    let mut writer = NonBlockingWriter(writer);
    let text = [b'x'; 1000];
    for _ in 0..1000 {
        writer.write_all(&text).expect("never fails");
    }
    let left_out = lines_left_out() - before;
    assert!((900..1000).contains(&left_out), "a pipe takes 64 KiB: {left_out}");
    drop(reader);
    writer.write_all(&text).expect("nor does it without a reader");
}

//! Frames in a receive buffer that fills piece by piece.

use roseshore_wire::frame::{self, FrameError, MAX_FRAME, VERSION};

/// The content of a receive buffer, the message decoded from it and the bytes left in it.
struct Case {
    name: &'static str,
    bytes: Vec<u8>,
    taken: Option<&'static str>,
    left: usize,
}

fn framed(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    frame::write(&mut bytes, &text).expect("it fits");
    bytes
}

#[test]
fn a_frame_is_taken_once_it_is_whole() {
    let whole = framed("one");
    let cases = [
        Case { name: "nothing", bytes: vec![], taken: None, left: 0 },
        Case { name: "part of a length", bytes: whole[..3].to_vec(), taken: None, left: 3 },
        Case { name: "part of a message", bytes: whole[..6].to_vec(), taken: None, left: 6 },
        Case { name: "one", bytes: whole.clone(), taken: Some("one"), left: 0 },
        Case {
            name: "one and the next begun",
            bytes: [whole.clone(), whole[..5].to_vec()].concat(),
            taken: Some("one"),
            left: 5,
        },
    ];
    for mut case in cases {
        let taken: Option<String> = frame::take(&mut case.bytes).expect(case.name);
        assert_eq!(taken.as_deref(), case.taken, "{}", case.name);
        assert_eq!(case.bytes.len(), case.left, "{}", case.name);
    }
}

#[test]
fn what_is_no_frame_is_refused() {
    let too_long = ((MAX_FRAME + 1) as u32).to_be_bytes().to_vec();
    assert!(matches!(frame::take::<String>(&mut too_long.clone()), Err(FrameError::Length(_))));
    let mut other = framed("one");
    other[4] = VERSION + 1;
    assert!(matches!(frame::take::<String>(&mut other), Err(FrameError::Version(_))));
    let mut short = vec![0, 0, 0, 2, VERSION, 9];
    assert!(matches!(frame::take::<String>(&mut short), Err(FrameError::Codec(_))));
}

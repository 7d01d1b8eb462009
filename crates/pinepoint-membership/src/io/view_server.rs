//! Serves the view as JSON in pages. A client requests the pages one by one and gets all of them from one
//! snapshot.

use std::collections::VecDeque;
use std::rc::Rc;

use crate::membership::MembershipView;
use crate::wire::Message;

/// Maximum text in one page, bytes. With its header, an answer is never larger than the request.
pub const PAGE_BYTES: usize = 1200;
/// Maximum number of snapshots retained for further pages. The oldest is evicted.
const MAX_SNAPSHOTS: usize = 4;

struct Snapshot {
    id: u64,
    json: Rc<[u8]>,
}

/// Retains snapshots of the view and splits them into pages.
#[derive(Default)]
pub(super) struct ViewServer {
    snapshots: VecDeque<Snapshot>,
}

impl ViewServer {
    /// The answer to a request for a page. None if the snapshot has no such page.
    pub(super) fn page(
        &mut self,
        snapshot_id: u64,
        page: u16,
        view: impl FnOnce() -> MembershipView,
    ) -> Option<Message> {
        let json = self.snapshot(snapshot_id, view);
        let page_count = json.len().div_ceil(PAGE_BYTES).min(usize::from(u16::MAX)) as u16;
        let text = json.chunks(PAGE_BYTES).nth(usize::from(page))?;
        Some(Message::ViewPage { snapshot_id, page, page_count, json: text.to_vec() })
    }

    /// The retained snapshot of this id, or a new one.
    fn snapshot(&mut self, id: u64, view: impl FnOnce() -> MembershipView) -> Rc<[u8]> {
        if let Some(snapshot) = self.snapshots.iter().find(|snapshot| snapshot.id == id) {
            return snapshot.json.clone();
        }
        let json: Rc<[u8]> = serde_json::to_vec(&view()).unwrap_or_default().into();
        if self.snapshots.len() >= MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
        self.snapshots.push_back(Snapshot { id, json: json.clone() });
        json
    }
}

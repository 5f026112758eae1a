//! LRU prefix cache of a modelled group.

use std::collections::BTreeMap;
use std::collections::HashMap;

/// LRU cache of prefix blocks, keyed by the chained hash of the prompt up to the block.
#[derive(Debug)]
pub(crate) struct Cache {
    capacity: usize,
    clock: u64,
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
}

impl Cache {
    pub(crate) fn new(capacity: usize) -> Self {
        Cache {
            capacity,
            clock: 0,
            used: HashMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// Returns how many leading blocks are cached, and marks them as used.
    pub(crate) fn hit(&mut self, chain: &[u64]) -> usize {
        let found = chain
            .iter()
            .take_while(|key| self.used.contains_key(key))
            .count();
        for &key in &chain[..found] {
            self.touch(key);
        }
        found
    }

    /// Caches `chain`, evicting the least recently used blocks over capacity.
    pub(crate) fn store(&mut self, chain: &[u64]) {
        // Deep blocks first, so that the end of a chain is evicted before its start.
        for &key in chain.iter().rev() {
            self.touch(key);
        }
        while self.used.len() > self.capacity {
            let Some((_, key)) = self.order.pop_first() else {
                break;
            };
            self.used.remove(&key);
        }
    }

    fn touch(&mut self, key: u64) {
        self.clock += 1;
        if let Some(old) = self.used.insert(key, self.clock) {
            self.order.remove(&old);
        }
        self.order.insert(self.clock, key);
    }
}

//! A generational slab: keys of removed entries never refer to a later entry.

/// The index of a slot and its generation, the number of entries removed from the slot before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    index: u32,
    generation: u32,
}

impl Key {
    /// Packs the key into one integer, for use as a `mio` token: generation in the upper 32 bits.
    pub fn to_number(self) -> usize {
        ((self.generation as usize) << 32) | self.index as usize
    }

    /// Restores a key from [`Key::to_number`].
    pub fn from_number(number: usize) -> Key {
        Key { index: number as u32, generation: (number >> 32) as u32 }
    }
}

/// Slots and the indices of those that are free.
#[derive(Debug)]
pub struct Slab<T> {
    slots: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Slab<T> {
        Slab { slots: Vec::new(), free: Vec::new() }
    }
}

impl<T> Slab<T> {
    /// Stores a value in a free slot and returns its key.
    pub fn add(&mut self, value: T) -> Key {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push((0, None));
            self.slots.len() as u32 - 1
        });
        let entry = &mut self.slots[index as usize];
        entry.1 = Some(value);
        Key { index, generation: entry.0 }
    }

    /// The value of a key; `None` once it was removed.
    pub fn get(&self, key: Key) -> Option<&T> {
        let (generation, value) = self.slots.get(key.index as usize)?;
        value.as_ref().filter(|_| *generation == key.generation)
    }

    /// Like [`Slab::get`], for changing the value.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        let (generation, value) = self.slots.get_mut(key.index as usize)?;
        value.as_mut().filter(|_| *generation == key.generation)
    }

    /// Removes the value of a key; `None` if it was removed before.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        let entry = self.slots.get_mut(key.index as usize)?;
        if entry.0 != key.generation {
            return None;
        }
        let value = entry.1.take()?;
        entry.0 = entry.0.wrapping_add(1);
        self.free.push(key.index);
        Some(value)
    }

    /// Number of stored values.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether no value is stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The keys of all stored values, in order of slots.
    pub fn keys(&self) -> Vec<Key> {
        let used = self.slots.iter().enumerate().filter(|(_, (_, v))| v.is_some());
        used.map(|(index, (generation, _))| Key { index: index as u32, generation: *generation })
            .collect()
    }
}

//! Entries with keys that are never given out twice.

/// A key: a place and how often it was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    place: u32,
    life: u32,
}

impl Key {
    /// As a number, for the readiness queue.
    pub fn to_number(self) -> usize {
        ((self.life as usize) << 32) | self.place as usize
    }

    /// Back from a number.
    pub fn from_number(number: usize) -> Key {
        Key { place: number as u32, life: (number >> 32) as u32 }
    }
}

/// The entries.
#[derive(Debug)]
pub struct Slab<T> {
    places: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Slab<T> {
        Slab { places: Vec::new(), free: Vec::new() }
    }
}

impl<T> Slab<T> {
    /// Adds an entry.
    pub fn add(&mut self, value: T) -> Key {
        let place = self.free.pop().unwrap_or_else(|| {
            self.places.push((0, None));
            self.places.len() as u32 - 1
        });
        let entry = &mut self.places[place as usize];
        entry.1 = Some(value);
        Key { place, life: entry.0 }
    }

    /// An entry.
    pub fn get(&self, key: Key) -> Option<&T> {
        let (life, value) = self.places.get(key.place as usize)?;
        value.as_ref().filter(|_| *life == key.life)
    }

    /// An entry, to change it.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        let (life, value) = self.places.get_mut(key.place as usize)?;
        value.as_mut().filter(|_| *life == key.life)
    }

    /// Takes an entry out.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        let entry = self.places.get_mut(key.place as usize)?;
        if entry.0 != key.life {
            return None;
        }
        let value = entry.1.take()?;
        entry.0 = entry.0.wrapping_add(1);
        self.free.push(key.place);
        Some(value)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.places.len() - self.free.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All keys.
    pub fn keys(&self) -> Vec<Key> {
        let used = self.places.iter().enumerate().filter(|(_, (_, v))| v.is_some());
        used.map(|(place, (life, _))| Key { place: place as u32, life: *life }).collect()
    }
}

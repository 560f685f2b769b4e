//! The queue of waiting requests: lanes, an order within each lane, and bounds.
//!
//! Both paths use it, with their own lanes, orders and requests.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::hash::Hash;

/// Bounds of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Most requests.
    pub requests: usize,
    /// Most bytes of all requests together.
    pub bytes: usize,
}

impl Bounds {
    /// Whether this many requests with this many bytes exceed the bounds.
    pub fn are_exceeded(&self, requests: usize, bytes: usize) -> bool {
        requests > self.requests || bytes > self.bytes
    }
}

/// A request in a queue.
pub trait Item {
    /// Identifies the request.
    type Id: Copy + Eq + Hash + fmt::Debug;
    /// Requests that are queued together.
    type Lane: Clone + Ord + fmt::Debug;
    /// Position in a lane; the lowest goes first. Equal ones go in the order of their arrival.
    type Order: Copy + Ord + fmt::Debug;

    fn id(&self) -> Self::Id;
    fn lane(&self) -> Self::Lane;
    fn order(&self) -> Self::Order;

    /// Bytes that count against the bound.
    fn bytes(&self) -> usize;
}

/// Position in a lane, then order of arrival.
type Key<T> = (<T as Item>::Order, u64);

/// The requests of one lane.
type Lane<T> = BTreeMap<Key<T>, T>;

/// Requests that wait.
#[derive(Clone, Debug)]
pub struct Queue<T: Item> {
    bounds: Bounds,
    /// Invariant: no lane is empty.
    lanes: BTreeMap<T::Lane, Lane<T>>,
    /// Invariant: one for each request in `lanes`.
    positions: HashMap<T::Id, (T::Lane, Key<T>)>,
    next_number: u64,
    /// Invariant: the sum over all requests.
    bytes: usize,
}

impl<T: Item> Queue<T> {
    /// An empty queue.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            lanes: BTreeMap::new(),
            positions: HashMap::new(),
            next_number: 0,
            bytes: 0,
        }
    }

    pub fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Bytes of all waiting requests.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether it holds more than its bounds allow. The caller then removes requests.
    pub fn is_over(&self) -> bool {
        self.bounds.are_exceeded(self.len(), self.bytes)
    }

    /// Whether a lane holds any request.
    pub fn has(&self, lane: &T::Lane) -> bool {
        self.lanes.contains_key(lane)
    }

    /// Adds a request, or moves it if it is queued already.
    pub fn push(&mut self, item: T) {
        let number = self.next_number;
        self.next_number += 1;
        self.remove(item.id());
        self.insert(item, number);
    }

    fn insert(&mut self, item: T, number: u64) {
        let lane = item.lane();
        let key = (item.order(), number);
        self.bytes += item.bytes();
        self.positions.insert(item.id(), (lane.clone(), key));
        self.lanes.entry(lane).or_default().insert(key, item);
    }

    pub fn remove(&mut self, id: T::Id) -> Option<T> {
        self.take(id).map(|(item, _)| item)
    }

    fn take(&mut self, id: T::Id) -> Option<(T, u64)> {
        let (name, key) = self.positions.remove(&id)?;
        let lane = self.lanes.get_mut(&name)?;
        let item = lane.remove(&key)?;
        if lane.is_empty() {
            self.lanes.remove(&name);
        }
        self.bytes -= item.bytes();
        Some((item, key.1))
    }

    /// Changes a request, and moves it to where it belongs then. Among equal ones it keeps its order
    /// of arrival.
    pub fn update(&mut self, id: T::Id, change: impl FnOnce(&mut T)) {
        if let Some((mut item, number)) = self.take(id) {
            change(&mut item);
            self.insert(item, number);
        }
    }

    /// The lanes that hold requests.
    pub fn lanes(&self) -> impl Iterator<Item = &T::Lane> {
        self.lanes.keys()
    }

    /// The requests of a lane, in order.
    pub fn lane(&self, lane: &T::Lane) -> impl Iterator<Item = &T> {
        self.lanes
            .get(lane)
            .into_iter()
            .flat_map(|lane| lane.values())
    }

    /// Number of requests in a lane.
    pub fn lane_len(&self, lane: &T::Lane) -> usize {
        self.lanes.get(lane).map_or(0, BTreeMap::len)
    }

    /// The requests that precede `order` in the lanes from `first` to `last`.
    pub fn before(
        &self,
        first: T::Lane,
        last: T::Lane,
        order: T::Order,
    ) -> impl Iterator<Item = &T> {
        let lanes = self.lanes.range(first..=last);
        lanes.flat_map(move |(_, lane)| lane.range(..(order, 0)).map(|(_, item)| item))
    }

    pub fn get(&self, id: T::Id) -> Option<&T> {
        let (lane, key) = self.positions.get(&id)?;
        self.lanes.get(lane)?.get(key)
    }

    /// The first request of each lane.
    pub fn firsts(&self) -> impl Iterator<Item = &T> {
        let lanes = self.lanes.values();
        lanes.filter_map(|lane| lane.first_key_value().map(|(_, item)| item))
    }

    /// The last request of all lanes: the latest of the highest order.
    pub fn last(&self) -> Option<&T> {
        let lasts = self.lanes.values().filter_map(BTreeMap::last_key_value);
        lasts.max_by_key(|(key, _)| **key).map(|(_, item)| item)
    }

    /// All requests, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.lanes.values().flat_map(BTreeMap::values)
    }
}

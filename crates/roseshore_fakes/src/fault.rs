//! Faults that can be switched while a fake runs.
//!
//! Each fake has its own struct of faults whose default is "none". [`Faults`] shares it between
//! threads; `GET /_fault` returns it and `POST /_fault` replaces all of it.

use crate::http::{self, Request};
use parking_lot::RwLock;
use serde::{Serialize, de::DeserializeOwned};
use std::sync::Arc;
use tiny_http::Method;

/// The HTTP path that reads and replaces the faults.
pub const PATH: &str = "/_fault";

/// The bounds on a struct of faults.
pub trait FaultSet:
    Clone + Default + Serialize + DeserializeOwned + Send + Sync + std::fmt::Debug + 'static
{
}

impl<T> FaultSet for T where
    T: Clone + Default + Serialize + DeserializeOwned + Send + Sync + std::fmt::Debug + 'static
{
}

/// The active faults, shared between threads.
#[derive(Clone, Debug, Default)]
pub struct Faults<T: FaultSet> {
    now: Arc<RwLock<Arc<T>>>,
}

impl<T: FaultSet> Faults<T> {
    /// Returns a snapshot of the active faults.
    pub fn get(&self) -> Arc<T> {
        self.now.read().clone()
    }

    /// Replaces all faults.
    pub fn set(&self, faults: T) {
        *self.now.write() = Arc::new(faults);
    }

    /// Modifies the active faults in place.
    pub fn change(&self, change: impl FnOnce(&mut T)) {
        let mut now = self.now.write();
        let mut faults = T::clone(&now);
        change(&mut faults);
        *now = Arc::new(faults);
    }

    /// Resets all faults to their default.
    pub fn clear(&self) {
        self.set(T::default());
    }

    /// Handles a request to [`PATH`].
    pub fn serve(&self, request: Request) {
        if *request.method() == Method::Get {
            return http::reply_json(request, 200, &*self.get());
        }
        match http::read_json::<T>(&request) {
            Ok(faults) => {
                self.set(faults);
                http::reply_json(request, 200, &*self.get());
            }
            Err(why) => http::reply_text(request, 400, &why),
        }
    }
}

//! Named faults that are switched while a stand-in runs.
//!
//! Each stand-in has its own struct of faults whose default is "none". [`Faults`] shares it
//! between threads; `GET /_fault` shows it and `POST /_fault` replaces it as a whole.

use crate::http;
use parking_lot::RwLock;
use serde::{Serialize, de::DeserializeOwned};
use std::sync::Arc;
use tiny_http::{Method, Request};

/// The path under which faults are read and switched.
pub const PATH: &str = "/_fault";

/// What a struct of faults must be able to do.
pub trait FaultSet:
    Clone + Default + Serialize + DeserializeOwned + Send + Sync + std::fmt::Debug + 'static
{
}

impl<T> FaultSet for T where
    T: Clone + Default + Serialize + DeserializeOwned + Send + Sync + std::fmt::Debug + 'static
{
}

/// The faults in force, shared between threads.
#[derive(Clone, Debug, Default)]
pub struct Faults<T: FaultSet> {
    now: Arc<RwLock<Arc<T>>>,
}

impl<T: FaultSet> Faults<T> {
    /// The faults in force.
    pub fn get(&self) -> Arc<T> {
        self.now.read().clone()
    }

    /// Replaces them.
    pub fn set(&self, faults: T) {
        *self.now.write() = Arc::new(faults);
    }

    /// Changes some of them.
    pub fn change(&self, change: impl FnOnce(&mut T)) {
        let mut now = self.now.write();
        let mut faults = T::clone(&now);
        change(&mut faults);
        *now = Arc::new(faults);
    }

    /// Ends all of them.
    pub fn clear(&self) {
        self.set(T::default());
    }

    /// Answers a request to [`PATH`].
    pub fn serve(&self, mut request: Request) {
        if *request.method() == Method::Get {
            return http::reply_json(request, 200, &*self.get());
        }
        match http::read_json::<T>(&mut request) {
            Ok(faults) => {
                self.set(faults);
                http::reply_json(request, 200, &*self.get());
            }
            Err(why) => http::reply_text(request, 400, &why),
        }
    }
}

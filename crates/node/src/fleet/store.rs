//! The thread that keeps what the node has promised as a voter on disk.

use std::collections::BTreeSet;
use std::io::Read;
use std::os::unix::net::UnixStream;
use std::sync::Arc;

use glendeck::domain::Span;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use glendeck_fleet::{Fleet, FleetConfig, LONGEST_LOG, StoreWrite};
use glendeck_store::{DiskFaults, Outcome, Store, StoreError};
use tracing::{error, info, warn};

use super::FleetError;
use crate::config::FleetSettings;
use crate::reactor::STORE;
use crate::service::Service;

/// A store that another process of this node still uses is tried again after so many ticks.
const RETRY_TICKS: u32 = 10;

/// The store's thread, and the socket at which it shows that a write is done.
pub(super) struct StoreThread {
    /// The thread.
    pub store: Store,
    /// Readable when the store has outcomes.
    pub wake: UnixStream,
}

/// What a membership begins with.
pub(super) struct OpenedFleet {
    /// What the decisions begin with.
    pub config: FleetConfig,
    /// The store's thread, if the node has a store that it can use.
    pub store: Option<StoreThread>,
    /// Ticks until a store that is in use is tried again.
    pub retry: Option<u32>,
}

/// Opens the store, or begins without a vote while another process uses it.
///
/// # Errors
///
/// Fails if the store cannot be opened for another reason.
pub(super) fn open_fleet(
    settings: &FleetSettings,
    name: &UnitName,
    incarnation: Incarnation,
    faults: Option<Arc<dyn DiskFaults>>,
) -> Result<OpenedFleet, FleetError> {
    match open_store(settings, name, incarnation, faults) {
        Err(FleetError::Store(cause @ StoreError::InUse(_))) => {
            warn!(%cause, "the store is in use: waiting for it, without a vote");
            let config = config_without_store(settings, name, incarnation);
            Ok(OpenedFleet { config, store: None, retry: Some(RETRY_TICKS) })
        }
        opened => opened,
    }
}

fn config_without_store(settings: &FleetSettings, name: &UnitName, incarnation: Incarnation) -> FleetConfig {
    FleetConfig {
        name: name.clone(),
        policy: settings.policy.clone(),
        incarnation,
        seed: incarnation.0,
        version: settings.version.clone(),
        saved: None,
        spoilt: false,
        longest_log: LONGEST_LOG,
    }
}

fn open_store(
    settings: &FleetSettings,
    name: &UnitName,
    incarnation: Incarnation,
    faults: Option<Arc<dyn DiskFaults>>,
) -> Result<OpenedFleet, FleetError> {
    let mut config = config_without_store(settings, name, incarnation);
    let Some(folder) = &settings.folder else {
        return Ok(OpenedFleet { config, store: None, retry: None });
    };
    let opened = glendeck_store::open(folder, faults)?;
    if let Some(cause) = &opened.unreadable {
        error!(%cause, "the store cannot be read and was set aside: no vote until a new voter slot is given");
    }
    config.saved = Some(opened.saved.clone());
    config.spoilt = opened.unreadable.is_some();
    let (wake, store_end) = UnixStream::pair()?;
    wake.set_nonblocking(true)?;
    let store = opened.start(store_end)?;
    Ok(OpenedFleet { config, store: Some(StoreThread { store, wake }), retry: None })
}

impl Service {
    /// Tries a store that was in use. Once the other process has let go of it, this one joins the fleet anew,
    /// with it.
    pub(super) fn retry_store(&mut self) {
        let Some(membership) = &mut self.membership else { return };
        let Some(ticks) = &mut membership.store_retry else { return };
        if *ticks > 0 {
            *ticks -= 1;
            return;
        }
        *ticks = RETRY_TICKS;
        // A node that is out by a lease ends that as the member that it is.
        if membership.fleet.is_out().is_some() {
            return;
        }
        let Some(settings) = &self.config.fleet else { return };
        let faults = membership.faults.clone();
        let opened = open_store(settings, &membership.name, membership.incarnation, faults);
        if let Ok(OpenedFleet { config, store: Some(store), .. }) = opened {
            info!("the store is free: joining the fleet with it");
            self.rejoin_with_store(config, store);
        }
    }

    fn rejoin_with_store(&mut self, config: FleetConfig, store: StoreThread) {
        let now = self.timestamp();
        let watched = self.watch_listener(&store.wake, STORE);
        let Some(membership) = &mut self.membership else { return };
        membership.store = Some(store);
        membership.store_retry = None;
        membership.fleet = Fleet::new(config, now);
        self.avoid_hosts(BTreeSet::new(), Span::ZERO);
        self.tell_endpoints();
        if let Err(cause) = watched {
            self.tell_fleet(|fleet, now| fleet.disk_died(now, &cause.to_string()));
        }
    }

    /// Hands a batch to the store. The decisions take a store that does not take it for a dead one.
    pub(super) fn persist(&mut self, batch: u64, writes: Vec<StoreWrite>) {
        let membership = self.membership.as_ref();
        let thread = membership.and_then(|membership| membership.store.as_ref());
        if !thread.is_some_and(|thread| thread.store.write(batch, writes)) {
            self.tell_fleet(|fleet, now| fleet.disk_died(now, "its thread takes nothing more"));
        }
    }

    /// Takes the outcomes of the store's writes.
    pub(crate) fn store_readable(&mut self) {
        for outcome in self.store_outcomes() {
            match outcome {
                Outcome::Written(batch) => self.tell_fleet(|fleet, now| fleet.written(now, batch)),
                Outcome::Failed(cause) => {
                    if let Some(membership) = &mut self.membership {
                        membership.store = None;
                    }
                    self.tell_fleet(|fleet, now| fleet.disk_died(now, &cause));
                }
            }
        }
    }

    fn store_outcomes(&mut self) -> Vec<Outcome> {
        let membership = self.membership.as_mut();
        let Some(thread) = membership.and_then(|membership| membership.store.as_mut()) else { return vec![] };
        // How often the store has written there does not matter: all outcomes are taken.
        let _ = thread.wake.read(&mut [0; 64]);
        std::iter::from_fn(|| thread.store.outcome()).collect()
    }
}

//! The thread that stores on disk what the node has promised as a voter.

use std::collections::BTreeSet;
use std::io::Read;
use std::os::unix::net::UnixStream;
use std::sync::Arc;

use glendeck::domain::Span;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use glendeck_fleet::{FleetConfig, LONGEST_LOG, StoreWrite};
use glendeck_store::{DiskFaults, Outcome, Store, StoreError};
use tracing::{error, info, warn};

use super::FleetError;
use crate::config::FleetSettings;
use crate::reactor::STORE;
use crate::service::Service;
use crate::signals::without_signals;

/// Ticks to skip before opening a store that another process of this node still uses is tried again.
const RETRY_TICKS: u32 = 10;

/// The store's thread, and the socket by which it signals a finished write.
pub(super) struct StoreThread {
    /// The thread.
    pub store: Store,
    /// Readable if the store has outcomes.
    pub wake: UnixStream,
}

/// What a membership starts with.
pub(super) struct OpenedFleet {
    /// What the fleet logic starts with.
    pub config: FleetConfig,
    /// The store's thread, if the node has a usable store.
    pub store: Option<StoreThread>,
    /// Ticks to skip before opening a store that is in use is tried again.
    pub retry_ticks: Option<u32>,
}

/// Opens the store. If another process uses it, starts without one, and so without a vote.
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
            warn!(%cause, "the store is in use, not voting until it is free");
            let config = config_without_store(settings, name, incarnation);
            Ok(OpenedFleet { config, store: None, retry_ticks: Some(RETRY_TICKS) })
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
        return Ok(OpenedFleet { config, store: None, retry_ticks: None });
    };
    let opened = glendeck_store::open(folder, faults)?;
    if let Some(cause) = &opened.unreadable {
        error!(%cause, "cannot read the store: moved it aside, not voting until this node gets a new voter slot");
    }
    config.saved = Some(opened.saved.clone());
    config.spoilt = opened.unreadable.is_some();
    let (wake, store_end) = UnixStream::pair()?;
    wake.set_nonblocking(true)?;
    let store = without_signals(|| opened.start(store_end))?;
    Ok(OpenedFleet { config, store: Some(StoreThread { store, wake }), retry_ticks: None })
}

impl Service {
    /// Tries to open a store that was in use. Once the other process has closed it, this one rejoins the
    /// fleet with the store.
    pub(super) fn retry_store(&mut self) {
        let Some(membership) = &mut self.membership else { return };
        let Some(ticks) = &mut membership.store_retry_ticks else { return };
        if *ticks > 0 {
            *ticks -= 1;
            return;
        }
        *ticks = RETRY_TICKS;
        let Some(settings) = &self.config.fleet else { return };
        let faults = membership.faults.clone();
        let opened = open_store(settings, &membership.name, membership.incarnation, faults);
        if let Ok(OpenedFleet { config, store: Some(store), .. }) = opened {
            info!("the store is free: rejoining the fleet with it");
            self.rejoin_with_store(config, store);
        }
    }

    fn rejoin_with_store(&mut self, config: FleetConfig, store: StoreThread) {
        let now = self.timestamp();
        let watched = self.watch_listener(&store.wake, STORE);
        let Some(membership) = &mut self.membership else { return };
        membership.store = Some(store);
        membership.store_retry_ticks = None;
        membership.fleet.rejoin(config, now);
        self.avoid_hosts(BTreeSet::new(), Span::ZERO);
        self.report_endpoints();
        if let Err(cause) = watched {
            self.with_fleet(|fleet, now| fleet.disk_died(now, &cause.to_string()));
        }
    }

    /// Passes a batch to the store. A store that is missing or does not accept it is reported as failed.
    pub(super) fn persist(&mut self, batch: u64, writes: Vec<StoreWrite>) {
        let membership = self.membership.as_ref();
        let thread = membership.and_then(|membership| membership.store.as_ref());
        if !thread.is_some_and(|thread| thread.store.write(batch, writes)) {
            self.with_fleet(|fleet, now| fleet.disk_died(now, "its thread accepts no more writes"));
        }
    }

    /// Reports the outcomes of the store's writes to the fleet logic.
    pub(crate) fn store_readable(&mut self) {
        for outcome in self.store_outcomes() {
            match outcome {
                Outcome::Written(batch) => self.with_fleet(|fleet, now| fleet.written(now, batch)),
                Outcome::Failed(cause) => {
                    if let Some(membership) = &mut self.membership {
                        membership.store = None;
                    }
                    self.with_fleet(|fleet, now| fleet.disk_died(now, &cause));
                }
            }
        }
    }

    fn store_outcomes(&mut self) -> Vec<Outcome> {
        let membership = self.membership.as_mut();
        let Some(thread) = membership.and_then(|membership| membership.store.as_mut()) else { return vec![] };
        // The number of bytes does not matter, as all outcomes are taken.
        let _ = thread.wake.read(&mut [0; 64]);
        std::iter::from_fn(|| thread.store.outcome()).collect()
    }
}

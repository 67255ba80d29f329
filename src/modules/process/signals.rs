//! Signals: what stops a program, and what doesn't.

use bridgevane_events::{Event, event};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that stop a program: SIGTERM and SIGINT.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn listen() -> Result<Self, std::io::Error> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits for the stop signal; SIGHUP ends the program, as is the system's default.
///
/// # Errors
/// When a signal can't be listened for.
pub(crate) async fn wait_for_stop() -> Result<(), std::io::Error> {
    StopSignals::listen()?.received().await;
    Ok(())
}

/// Waits for the stop signal; SIGHUP, by which a platform says that settings have changed, is
/// logged and touches nothing that runs.
///
/// # Errors
/// When a signal can't be listened for.
pub(crate) async fn wait_for_stop_through_hang_ups() -> Result<(), std::io::Error> {
    let mut stop = StopSignals::listen()?;
    let mut hang_up = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            () = stop.received() => return Ok(()),
            _ = hang_up.recv() => event!(Event::SettingsSignal),
        }
    }
}

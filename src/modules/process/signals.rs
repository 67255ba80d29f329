//! Waits for the signals that stop a program.

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

/// Waits for a stop signal. SIGHUP ends the program, which is the system's default.
///
/// # Errors
/// The operating system's error if a signal can't be listened for.
pub(crate) async fn wait_for_stop() -> Result<(), std::io::Error> {
    StopSignals::listen()?.received().await;
    Ok(())
}

/// Waits for a stop signal. SIGHUP, with which a platform announces changed settings, is only
/// logged.
///
/// # Errors
/// The operating system's error if a signal can't be listened for.
pub(crate) async fn wait_for_stop_ignoring_hang_ups() -> Result<(), std::io::Error> {
    let mut stop = StopSignals::listen()?;
    let mut hang_up = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            () = stop.received() => return Ok(()),
            _ = hang_up.recv() => event!(Event::SettingsSignal),
        }
    }
}

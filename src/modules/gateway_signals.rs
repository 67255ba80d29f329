//! What signals mean to the gateway.

use bridgevane_events::{Event, event};
use tokio::signal::unix::{SignalKind, signal};

/// Waits for the stop signal. SIGHUP touches nothing that runs.
///
/// # Errors
/// When a signal can't be listened for.
pub async fn wait_for_stop() -> Result<(), std::io::Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hang_up.recv() => event!(Event::SettingsSignal),
        }
    }
}
